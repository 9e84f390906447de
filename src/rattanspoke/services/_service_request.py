"""A caller's request to one service: first send, hedges, retries, one result."""

import asyncio
from dataclasses import dataclass, field
from typing import TypeAlias

import structlog

from ..contracts import ConnectionPools, Counters, Metric, ReplicaSelection
from ..model import (
    UNSENT_FAILURES,
    CallerRequest,
    CallId,
    ExtraSend,
    Outcome,
    PendingRequest,
    Reason,
    Registration,
    Route,
    Seconds,
    ServiceId,
    UpstreamError,
    UpstreamId,
    UpstreamReply,
)
from ._tasks import Tasks

Attempt: TypeAlias = 'asyncio.Task[UpstreamReply | UpstreamError]'


@dataclass(frozen=True, slots=True)
class ServiceResult:
    """The result of a caller's request to one service.

    Attributes:
        reply: the reply to relay, None when no upstream sent a complete one.
        outcome: whether any upstream ran the request, when the reply is no success.
        reason: why there is no success.
        tried: the upstreams that the request was sent to.
    """

    service: ServiceId
    reply: UpstreamReply | None
    outcome: Outcome
    reason: Reason
    tried: tuple[UpstreamId, ...] = ()

    @property
    def is_success(self) -> bool:
        """Whether an upstream ran the request successfully."""
        return self.reply is not None and self.reply.is_success


@dataclass(slots=True)
class ServiceRequest:
    """Send a request to one upstream of a service, with hedges and retries to others.

    An idempotent request is hedged when an upstream has not replied after the hedge
    delay, and retried after any failure. A request that must not run twice is retried
    only when it is certain that no upstream has run it. The route limits the attempts,
    and the service's retry budget limits all sends beyond the first.

    Attributes:
        is_waiting: whether it is queued for an upstream with free capacity.
    """

    request: CallerRequest
    service: ServiceId
    pending: PendingRequest
    connection_pools: ConnectionPools
    replica_selection: ReplicaSelection
    counters: Counters
    tasks: Tasks
    log: structlog.stdlib.BoundLogger
    _tried: set[UpstreamId] = field(default_factory=set)
    _attempts: int = 0
    _running: dict[Attempt, UpstreamId] = field(default_factory=dict)
    _failed_reply: UpstreamReply | None = None
    is_waiting: bool = False
    _is_stopped: bool = False
    _outcome: Outcome = Outcome.NOT_RUN
    _reason: Reason = Reason.NO_REPLICA

    async def run(self) -> ServiceResult:
        """Return the first success, else the failure after the last attempt."""
        self.replica_selection.count_request(self.service)
        await self._send_when_possible()
        try:
            while self._running:
                ended = await self._await_reply()
                replies = [self._record_attempt(attempt) for attempt in ended]
                success = next(filter(None, replies), None)
                if success is not None:
                    # A slower attempt goes on, so that its latency is recorded.
                    return ServiceResult(
                        self.service, success, Outcome.RAN, Reason.NONE
                    )
                if not ended:
                    self._send_hedge()
                elif self._may_retry():
                    await self._send_when_possible()
        except asyncio.CancelledError:
            self._cancel_attempts()
            raise
        return self.describe_failure()

    @property
    def route(self) -> Route:
        """The route of the request."""
        return self.pending.route

    def describe_failure(self) -> ServiceResult:
        """Return the result so far of a request without a success."""
        reason = self._reason
        if self.is_waiting:
            reason = Reason.OVERLOADED
        elif self._running:
            reason = Reason.NO_REPLY
        return ServiceResult(
            self.service, self._failed_reply, self._outcome, reason, tuple(self._tried)
        )

    def stop_sending(self) -> None:
        """Start no further attempts.

        Used when the caller was answered without this result. Attempts in flight go
        on, so that their latencies are recorded.
        """
        self._is_stopped = True

    async def _await_reply(self) -> set[Attempt]:
        """Return the attempts that ended; none when the hedge delay has passed."""
        limit = self._find_hedge_delay() if self._may_hedge() else None
        ended, _ = await asyncio.wait(
            self._running, timeout=limit, return_when=asyncio.FIRST_COMPLETED
        )
        return ended

    def _may_hedge(self) -> bool:
        """Whether to send a hedge if no reply arrives within the hedge delay."""
        return self.route.is_idempotent and self._may_send()

    def _find_hedge_delay(self) -> Seconds:
        return self.replica_selection.estimate_hedge_delay(self.service, self.route)

    def _may_retry(self) -> bool:
        if self._running or not self._may_send():
            return False
        return self.route.is_idempotent or self._outcome is Outcome.NOT_RUN

    def _may_send(self) -> bool:
        return not self._is_stopped and self._attempts < self.route.attempt_limit

    async def _send_when_possible(self) -> None:
        """Wait for free capacity at an upstream; send nothing if none is expected."""
        self.is_waiting = True
        target = await self.replica_selection.await_capacity(
            self.service, self.pending, self._tried
        )
        self.is_waiting = False
        if target is not None and self._withdraw_extra_send(ExtraSend.RETRY):
            self._start_attempt(target)

    def _send_hedge(self) -> None:
        target = self.replica_selection.choose_hedge_target(
            self.service, self.route, self._tried
        )
        if target is not None and self._withdraw_extra_send(ExtraSend.HEDGE):
            self._start_attempt(target)

    def _withdraw_extra_send(self, kind: ExtraSend) -> bool:
        """Withdraw a send beyond the first from the retry budget; False if denied."""
        if not self._attempts:
            return True
        if not self.replica_selection.withdraw_extra_send(self.service, kind):
            self.counters.add(Metric.EXTRA_DENIED, kind.value)
            return False
        self.log.info(
            'extra send',
            request=self.request.attempt,
            service=self.service,
            kind=kind.value,
            after=' '.join(self._tried),
            reason=self.describe_failure().reason.value,
        )
        is_hedge = kind is ExtraSend.HEDGE
        self.counters.add(Metric.HEDGES if is_hedge else Metric.RETRIES)
        return True

    def _start_attempt(self, target: Registration) -> None:
        self._tried.add(target.upstream)
        self._attempts += 1
        # Counted before the task runs, so that replica selection sees it at once and
        # spreads requests that arrive at the same moment.
        call = self.replica_selection.note_sent(target)
        attempt = self.tasks.spawn(self._run_attempt(target, call))
        attempt.add_done_callback(lambda ended: self._note_dropped(ended, target, call))
        self._running[attempt] = target.upstream

    async def _run_attempt(
        self, target: Registration, call: CallId
    ) -> UpstreamReply | UpstreamError:
        try:
            reply = await self.connection_pools.send(self.request, self.route, target)
        except UpstreamError as error:
            self.replica_selection.note_failure(target, call, self.route, error)
            return error
        self.replica_selection.note_reply(target, call, self.route, reply)
        return reply

    def _note_dropped(
        self, attempt: Attempt, target: Registration, call: CallId
    ) -> None:
        if attempt.cancelled():
            self.replica_selection.note_dropped(target, call, self.route)

    def _record_attempt(self, attempt: Attempt) -> UpstreamReply | None:
        """Record how an attempt ended; return its reply if it is a success."""
        upstream = self._running.pop(attempt)
        match attempt.result():
            case UpstreamError(outcome=outcome, reason=reason):
                self._note_failed_attempt(upstream, outcome, reason)
            case UpstreamReply(is_success=True) as reply:
                return reply
            case UpstreamReply(outcome=Outcome.NOT_RUN):
                self._note_failed_attempt(
                    upstream, Outcome.NOT_RUN, Reason.UPSTREAM_SHED
                )
            case UpstreamReply(seal=None):
                # Nothing proves that the upstream itself sent this reply, so it is
                # treated like one that broke off.
                self._note_failed_attempt(
                    upstream, Outcome.UNKNOWN, Reason.REPLY_BROKEN
                )
            case UpstreamReply(is_refusal=True):
                # Without proof that the request was not run, its status would promise
                # the caller too much.
                self._note_failed_attempt(
                    upstream, Outcome.UNKNOWN, Reason.UPSTREAM_FAILED
                )
            case reply:
                self._failed_reply = reply
                self._note_failed_attempt(
                    upstream, reply.outcome, Reason.UPSTREAM_FAILED
                )
        return None

    def _note_failed_attempt(
        self, upstream: UpstreamId, outcome: Outcome, reason: Reason
    ) -> None:
        self.log.info(
            'attempt failed',
            request=self.request.attempt,
            service=self.service,
            upstream=upstream,
            reason=reason.value,
            outcome=outcome.value,
        )
        if reason in UNSENT_FAILURES:
            self._attempts -= 1
        if outcome is not Outcome.NOT_RUN:
            self._outcome = outcome
        self._reason = reason

    def _cancel_attempts(self) -> None:
        for attempt in self._running:
            attempt.cancel()
