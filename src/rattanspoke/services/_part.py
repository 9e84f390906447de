"""One service's part of a request: first send, hedge, retries, one result."""

import asyncio
from dataclasses import dataclass, field

from ..contracts import Counters, Lines, Metric, Placements
from ..model import (
    CallerRequest,
    Outcome,
    Reason,
    Registration,
    Route,
    Seconds,
    ServiceId,
    UpstreamError,
    UpstreamId,
    UpstreamReply,
)
from ._tasks import Tasks, read_clock


@dataclass(frozen=True, slots=True)
class PartResult:
    """What became of a part.

    Attributes:
        reply: the reply to hand on, None when no upstream gave a whole one.
        outcome: whether any upstream ran the request, when the reply is no success.
    """

    service: ServiceId
    reply: UpstreamReply | None
    outcome: Outcome
    reason: Reason

    @property
    def is_success(self) -> bool:
        """Whether an upstream ran the request and did what it asked."""
        return self.reply is not None and self.reply.is_success


@dataclass(slots=True)
class Part:
    """Send a request to one upstream of a service, and to others where that helps.

    An idempotent request is sent to a second upstream when the first stays silent for
    longer than usual, and again after any failure. A request that must not run twice
    is sent again only when it surely has not run. Attempts are bounded by the route,
    all extra sends by the service's budget.
    """

    request: CallerRequest
    route: Route
    service: ServiceId
    lines: Lines
    placements: Placements
    counters: Counters
    tasks: Tasks
    _tried: set[UpstreamId] = field(default_factory=set)
    _attempts: int = 0
    _running: dict[asyncio.Task[UpstreamReply], UpstreamId] = field(
        default_factory=dict
    )
    _failed: UpstreamReply | None = None
    _is_released: bool = False
    _outcome: Outcome = Outcome.NOT_RUN
    _reason: Reason = Reason.NO_REPLICA

    async def run(self) -> PartResult:
        """Return the first success, else what is known when no attempt is left."""
        self.placements.count_request(self.service)
        self._send()
        try:
            while self._running:
                ended = await self._await_reply()
                success = next(filter(self._take, ended), None)
                if success is not None:
                    return self._finish(success.result())
                if not ended or self._may_retry():
                    self._send_extra(Metric.RETRIES if ended else Metric.HEDGES)
        except asyncio.CancelledError:
            self._cancel_all()
            raise
        return PartResult(self.service, self._failed, self._outcome, self._reason)

    def release(self) -> None:
        """Send nothing more; attempts in flight end by themselves and are learned from.

        The caller has its answer without this part.
        """
        self._is_released = True

    async def _await_reply(self) -> set[asyncio.Task[UpstreamReply]]:
        """Return the attempts that ended; none when it is time for a hedge."""
        limit = self._hedge_wait() if self._may_hedge() else None
        ended, _ = await asyncio.wait(
            self._running, timeout=limit, return_when=asyncio.FIRST_COMPLETED
        )
        return ended

    def _may_hedge(self) -> bool:
        if not self.route.is_idempotent or len(self._running) > 1 or self._is_released:
            return False
        return self._attempts < self.route.attempt_limit

    def _hedge_wait(self) -> Seconds:
        return self.placements.hedge_after(self.service, self.route)

    def _may_retry(self) -> bool:
        if self._running or read_clock() >= self.request.deadline:
            return False
        return self.route.is_idempotent or self._outcome is Outcome.NOT_RUN

    def _send_extra(self, kind: Metric) -> None:
        if self._is_released or self._attempts >= self.route.attempt_limit:
            return
        target = self._choose()
        if target is None:
            return
        if self._attempts and not self.placements.spend_extra(self.service):
            self.counters.add(Metric.EXTRA_DENIED, kind.value)
            return
        self.counters.add(kind)
        self._start(target)

    def _send(self) -> None:
        target = self._choose()
        if target is not None:
            self._start(target)

    def _choose(self) -> Registration | None:
        return self.placements.choose(self.service, self.route, self._tried)

    def _start(self, target: Registration) -> None:
        self._tried.add(target.upstream)
        self._attempts += 1
        attempt = self.tasks.spawn(self._attempt(target))
        self._running[attempt] = target.upstream

    async def _attempt(self, target: Registration) -> UpstreamReply:
        call = self.placements.note_sent(target)
        try:
            reply = await self.lines.send(self.request, self.route, target)
        except UpstreamError as error:
            self.placements.note_failure(target, call, self.route, error)
            raise
        except asyncio.CancelledError:
            self.placements.note_dropped(target, call, self.route)
            raise
        self.placements.note_reply(target, call, self.route, reply)
        return reply

    def _take(self, attempt: asyncio.Task[UpstreamReply]) -> bool:
        """Note how an attempt ended; True when it is the result."""
        del self._running[attempt]
        error = attempt.exception()
        if isinstance(error, UpstreamError):
            self._note_failed(error.outcome, error.reason)
            return False
        if error is not None:
            raise error
        reply = attempt.result()
        if reply.is_success:
            return True
        if reply.outcome is Outcome.RAN:
            self._failed = reply
        self._note_failed(reply.outcome, Reason.UPSTREAM_FAILED)
        return False

    def _note_failed(self, outcome: Outcome, reason: Reason) -> None:
        if reason is Reason.UPSTREAM_UNREACHABLE:
            self._attempts -= 1  # nothing of it arrived
        if outcome is not Outcome.NOT_RUN:
            self._outcome = outcome
        self._reason = reason

    def _finish(self, reply: UpstreamReply) -> PartResult:
        """Return the success; a slower attempt ends by itself and is learned from."""
        for attempt in self._running:
            attempt.add_done_callback(_ignore_outcome)
        return PartResult(self.service, reply, Outcome.RAN, Reason.NONE)

    def _cancel_all(self) -> None:
        for attempt in self._running:
            attempt.add_done_callback(_ignore_outcome)
            attempt.cancel()


def _ignore_outcome(attempt: asyncio.Task[UpstreamReply]) -> None:
    """Retrieve the error of an attempt whose part has ended."""
    if not attempt.cancelled():
        attempt.exception()
