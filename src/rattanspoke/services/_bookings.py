"""Non-idempotent requests of callers: claim the key, then run at most once."""

import asyncio
import secrets
from dataclasses import dataclass

from ..contracts import (
    CATALOG,
    CLAIMS,
    COUNTERS,
    LIFECYCLE,
    PEERS,
    SUSPECTS,
    TIMELINE,
    UPSTREAM_LOADS,
    Metric,
)
from ..kernel import Kernel
from ..model import (
    Booking,
    BookingCommand,
    BookingReply,
    ClaimEntry,
    ClaimReply,
    ClaimRequest,
    ClaimSettlement,
    ClaimState,
    EventKind,
    Fingerprint,
    HostId,
    Outcome,
    PeerError,
    Reason,
    Receipt,
    RequestError,
    Seconds,
    ServiceId,
    UpstreamId,
)
from ._fingerprints import digest_work
from ._tasks import TaskOwner, read_clock

# Upstreams called for one booking, each after proof that the last did not run it.
MAX_UPSTREAMS = 4
MAX_TRIES = 60  # attempts for one booking, with those that reached no upstream
RETRY_PAUSE = Seconds(0.02)  # after an attempt that reached no upstream
RETRY_WINDOW_SHARE = 0.6  # share of the caller's budget in which retries may start
# Reasons with which an attempt fails before an upstream was called.
NO_UPSTREAM_CALLED = frozenset(
    (
        Reason.NO_REPLICA,
        Reason.NOT_OWNER,
        Reason.UPSTREAM_COLD,
        Reason.PEER_REFUSED,
        Reason.PEER_UNREACHABLE,
    )
)
# Time beyond the deadline for an owner's reply that the booking did not run; without
# it the caller would get an unknown outcome instead.
REPLY_GRACE = Seconds(0.25)
CLAIM_STATES = {
    Outcome.RAN: ClaimState.RAN,
    Outcome.NOT_RUN: ClaimState.RELEASED,
    Outcome.UNKNOWN: ClaimState.UNKNOWN,
}


@dataclass(frozen=True, slots=True)
class _Attempt:
    """One request of a caller to run a booking.

    Attributes:
        token: identifies this request in the claim; it fences all others.
        deadline: monotonic time in seconds at which the caller stops waiting.
    """

    booking: Booking
    token: str
    fingerprint: Fingerprint
    deadline: Seconds


class HostBookings(TaskOwner):
    """Run bookings to the end, even after the caller has disconnected."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._catalog = kernel.find(CATALOG)
        self._claims = kernel.find(CLAIMS)
        self._counters = kernel.find(COUNTERS)
        self._lifecycle = kernel.find(LIFECYCLE)
        self._loads = kernel.find(UPSTREAM_LOADS)
        self._peers = kernel.find(PEERS)
        self._suspects = kernel.find(SUSPECTS)
        self._timeline = kernel.find(TIMELINE)

    async def book(self, booking: Booking) -> Receipt:
        """Run a booking at most once.

        Raises:
            RequestError: when it was not run, or when that is unknown.
        """
        self._lifecycle.admit()
        attempt = _Attempt(
            booking,
            secrets.token_hex(8),
            fingerprint_booking(booking),
            Seconds(read_clock() + booking.budget),
        )
        self._check_accepted(attempt)
        self._lifecycle.begin()
        # The task outlives a caller that disconnects, so that the outcome is stored.
        task = self._tasks.spawn(self._run(attempt))
        task.add_done_callback(lambda _: self._lifecycle.end())
        result: Receipt | RequestError = await asyncio.shield(task)
        if isinstance(result, RequestError):
            raise result
        return result

    def _check_accepted(self, attempt: _Attempt) -> None:
        service = self._catalog.service(attempt.booking.service)
        if service is None or not service.accepts_bookings:
            raise RequestError(Reason.UNKNOWN_SERVICE, Outcome.NOT_RUN)
        if self._suspects.is_blocked(attempt.fingerprint):
            raise RequestError(Reason.SUSPECT, Outcome.NOT_RUN)

    async def _run(self, attempt: _Attempt) -> Receipt | RequestError:
        claim = await self._claim(attempt)
        if not claim.granted:
            return self._resolve_denied_claim(attempt, claim)
        reply = await self._try_upstreams(attempt)
        self._timeline.note(
            EventKind.CLAIM,
            f'booking {reply.outcome.value}: {reply.reason.value}',
            request=attempt.booking.request,
            organisation=attempt.booking.organisation,
        )
        await self._settle(attempt, reply)
        if reply.outcome is not Outcome.RAN:
            return RequestError(reply.reason, reply.outcome)
        return _make_receipt(attempt, reply.reference, repeated=False)

    async def _claim(self, attempt: _Attempt) -> ClaimReply:
        booking = attempt.booking
        claim_request = ClaimRequest(
            booking.organisation,
            booking.key,
            attempt.token,
            attempt.fingerprint,
            Seconds(attempt.deadline - read_clock()),
        )
        return await self._claims.take(claim_request)

    def _resolve_denied_claim(
        self, attempt: _Attempt, claim: ClaimReply
    ) -> Receipt | RequestError:
        """Answer from what the earlier request with the key did; run nothing again."""
        if claim.reason is Reason.PLATFORM_DOWN:
            # The claim may have been stored nevertheless: release it to free the key.
            failed = self._make_failure(attempt, 0, Reason.PLATFORM_DOWN)
            self._tasks.spawn(self._settle(attempt, failed))
            return RequestError(Reason.PLATFORM_DOWN, Outcome.NOT_RUN)
        if claim.reason is Reason.BAD_REQUEST:
            detail = 'the key was used for another request'
            return RequestError(Reason.BAD_REQUEST, Outcome.NOT_RUN, detail)
        if claim.entry is not None and claim.entry.state is ClaimState.RAN:
            return _make_receipt(attempt, claim.entry.reference, repeated=True)
        return RequestError(Reason.KEY_IN_USE, Outcome.UNKNOWN)

    async def _try_upstreams(self, attempt: _Attempt) -> BookingReply:
        """Try one upstream after another while the booking certainly has not run."""
        tried: set[UpstreamId] = set()
        last_start = read_clock() + RETRY_WINDOW_SHARE * attempt.booking.budget
        for number in range(1, MAX_TRIES + 1):
            reply = await self._try_next_upstream(attempt, number, tried)
            is_late = read_clock() >= last_start or len(tried) >= MAX_UPSTREAMS
            if is_late or not self._may_retry(attempt, reply):
                break
            if reply.reason in NO_UPSTREAM_CALLED:
                await asyncio.sleep(RETRY_PAUSE)
        return reply

    def _may_retry(self, attempt: _Attempt, reply: BookingReply) -> bool:
        """Return whether another attempt is safe and may find an upstream."""
        if reply.outcome is not Outcome.NOT_RUN:
            return False
        if reply.reason is not Reason.NO_REPLICA:
            return True
        upstreams = self._catalog.upstreams_of(attempt.booking.service)
        return any(self._loads.may_recover(record.upstream) for record in upstreams)

    async def _try_next_upstream(
        self, attempt: _Attempt, number: int, tried: set[UpstreamId]
    ) -> BookingReply:
        """Try the upstream with the least expected time; add it to tried if called."""
        upstream = self._choose_upstream(attempt.booking.service, tried)
        owner = self._loads.choose_owner(upstream) if upstream else None
        if upstream is None or owner is None:
            return self._make_failure(attempt, number, Reason.NO_REPLICA)
        reply = await self._try_upstream(attempt, number, upstream, owner)
        if reply.reason not in NO_UPSTREAM_CALLED:
            tried.add(upstream)
        return reply

    async def _try_upstream(
        self, attempt: _Attempt, number: int, upstream: UpstreamId, owner: HostId
    ) -> BookingReply:
        now = read_clock()
        budget = Seconds(attempt.deadline - now)
        if budget <= 0:
            return self._make_failure(attempt, number, Reason.DEADLINE)
        self._loads.note_sent(upstream)
        command = self._make_command(attempt, number, upstream, budget)
        try:
            reply = await self._peers.call(
                owner, command, Seconds(budget + REPLY_GRACE)
            )
        except PeerError as error:
            self._loads.note_failed(upstream, owner, error)
            return self._make_failure(attempt, number, error.reason, error.outcome)
        if not isinstance(reply, BookingReply) or reply.attempt != number:
            self._counters.add(Metric.DISCARDED_REPLIES)
            return self._make_failure(
                attempt, number, Reason.PEER_LOST, Outcome.UNKNOWN
            )
        if reply.outcome is Outcome.RAN:
            took = Seconds(read_clock() - now)
            self._loads.note_ended(upstream, owner, took, Seconds(0))
        else:
            refused = PeerError(reply.reason, reply.outcome)
            self._loads.note_failed(upstream, owner, refused)
        return reply

    def _choose_upstream(
        self, service: ServiceId, tried: set[UpstreamId]
    ) -> UpstreamId | None:
        expected = {
            record.upstream: self._loads.expect(record.upstream)
            for record in self._catalog.upstreams_of(service)
            if record.upstream not in tried
        }
        usable = {
            upstream: load for upstream, load in expected.items() if load is not None
        }
        return min(usable, key=lambda upstream: usable[upstream], default=None)

    async def _settle(self, attempt: _Attempt, reply: BookingReply) -> None:
        entry = ClaimEntry(
            token=attempt.token,
            state=CLAIM_STATES[reply.outcome],
            fingerprint=attempt.fingerprint,
            reference=reply.reference,
        )
        booking = attempt.booking
        settle = ClaimSettlement(booking.organisation, booking.key, entry)
        # Only a booking that did not run waits for the write, which frees its key for
        # a retry. Once it may have run, the caller need not wait for the platform.
        settle_task = self._tasks.spawn(self._settle_claim(settle))
        if reply.outcome is Outcome.NOT_RUN:
            await asyncio.shield(settle_task)

    async def _settle_claim(self, settle: ClaimSettlement) -> None:
        self._lifecycle.begin()
        try:
            await self._claims.settle(settle)
        finally:
            self._lifecycle.end()

    def _make_command(
        self, attempt: _Attempt, number: int, upstream: UpstreamId, budget: Seconds
    ) -> BookingCommand:
        booking = attempt.booking
        return BookingCommand(
            request=booking.request,
            attempt=number,
            upstream=upstream,
            service=booking.service,
            organisation=booking.organisation,
            fingerprint=attempt.fingerprint,
            content=booking.content,
            budget=budget,
            urgency=booking.urgency,
        )

    def _make_failure(
        self,
        attempt: _Attempt,
        number: int,
        reason: Reason,
        outcome: Outcome = Outcome.NOT_RUN,
    ) -> BookingReply:
        return BookingReply(
            request=attempt.booking.request,
            attempt=number,
            outcome=outcome,
            reason=reason,
        )


def fingerprint_booking(booking: Booking) -> Fingerprint:
    """Return a digest of a booking's service and content, the same for any caller."""
    return digest_work('booking', booking.service, booking.content)


def _make_receipt(attempt: _Attempt, reference: str, *, repeated: bool) -> Receipt:
    return Receipt(
        request=attempt.booking.request,
        outcome=Outcome.RAN,
        reason=Reason.NONE,
        reference=reference,
        repeated=repeated,
    )
