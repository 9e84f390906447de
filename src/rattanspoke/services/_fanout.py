"""One search in flight: a single task sends sub-requests and handles the replies."""

import asyncio
from collections.abc import Iterable
from functools import partial
from types import TracebackType
from typing import Self, TypeAlias

from ..contracts import (
    COUNTERS,
    PEERS,
    SUSPECTS,
    TIMELINE,
    UPSTREAM_LOADS,
    Metric,
)
from ..decisions import ExtraSendPolicy, PendingSubRequest, SearchState, assign_shards
from ..kernel import Kernel
from ..model import (
    CallId,
    CancelWork,
    EventKind,
    Fingerprint,
    HostId,
    Message,
    Outcome,
    Reason,
    Search,
    Seconds,
    ShardId,
    SubReply,
    SubRequest,
    UpstreamId,
    WorkError,
)
from ._tasks import ignore_reply, read_clock

MAX_REROUTES = 64  # sub-requests of one search whose shards are sent again
# Refusals after which shards are sent again without a withdrawal from the retry budget,
# since no upstream was called.
REROUTE_REASONS = frozenset(
    (
        Reason.NOT_OWNER,
        Reason.UPSTREAM_COLD,
        Reason.PEER_REFUSED,
        Reason.PEER_UNREACHABLE,
        Reason.HOST_LEAVING,
    )
)
# Refusals of an owner whose queue is too long for the work, which a hedge accepts.
SHED_REASONS = frozenset((Reason.OVERLOADED, Reason.DEADLINE))
# Seconds until shards that had no usable replica are tried again.
DEFERRED_RETRY_DELAY = Seconds(0.02)
DEFERRAL_SHARE = 0.6  # of a search's time, after which shards are no longer deferred
# Seconds until a hedge that the budget denied is tried again.
HEDGE_RETRY_DELAY = Seconds(0.002)

CallResult: TypeAlias = tuple[int, Message | WorkError]


class Fanout:
    """Send the sub-requests of one search, and cancel the unanswered ones on exit."""

    def __init__(
        self,
        kernel: Kernel,
        search: Search,
        fingerprint: Fingerprint,
        gathering: SearchState,
        allowance: ExtraSendPolicy,
    ) -> None:
        self._search = search
        self._fingerprint = fingerprint
        self._gathering = gathering
        self._allowance = allowance
        self._counters = kernel.find(COUNTERS)
        self._loads = kernel.find(UPSTREAM_LOADS)
        self._peers = kernel.find(PEERS)
        self._suspects = kernel.find(SUSPECTS)
        self._timeline = kernel.find(TIMELINE)
        self._inbox: asyncio.Queue[CallResult] = asyncio.Queue()
        self._calls: dict[int, tuple[HostId, CallId]] = {}
        self._retry_counts: dict[ShardId, int] = {}
        self._reroutes = 0
        self._retry_deferred_at = Seconds(0)
        self._last_wake: float = 0  # loop time for which the last expired timer was set

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        now = read_clock()
        for sub_request in list(self._gathering.outstanding.values()):
            self._cancel_sub_request(sub_request, Seconds(now))

    async def run(self) -> None:
        """Send sub-requests until the answer is complete or it is time to answer."""
        self._send(self._gathering.shard_map.shards)
        while not self._gathering.is_over(self._read_now()):
            result = await self._await_result()
            if result is not None:
                self._handle_result(*result)
            self._hedge_slow()
            self._retry_deferred()

    async def _await_result(self) -> CallResult | None:
        if not self._inbox.empty():
            return self._inbox.get_nowait()
        wake_time = self._find_wake_time()
        try:
            async with asyncio.timeout_at(wake_time):
                return await self._inbox.get()
        except TimeoutError:
            self._last_wake = wake_time
            return None

    def _read_now(self) -> Seconds:
        """Return the loop's time, but no less than that of the last expired timer.

        The event loop rounds timers and may fire one slightly early. By the clock alone
        the sub-request would not be due yet, and the task would set the same timer
        again and again without waiting.
        """
        return Seconds(max(read_clock(), self._last_wake))

    def _find_wake_time(self) -> float:
        """Return the time of the next hedge or deferred retry, or of the answer."""
        end = self._gathering.ends_at()
        if self._gathering.deferred:
            end = Seconds(min(end, self._retry_deferred_at))
        threshold = self._find_threshold()
        if threshold is None:
            return end
        waiting = [
            max(sub_request.sent + threshold, sub_request.hedge_after)
            for sub_request in self._gathering.outstanding.values()
            if not sub_request.hedged and not sub_request.is_hedge
        ]
        return min(*waiting, end) if waiting else end

    def _handle_result(self, attempt: int, result: Message | WorkError) -> None:
        now = Seconds(read_clock())
        host, _ = self._calls.pop(attempt, (HostId(''), CallId(0)))
        sub_request = self._gathering.outstanding.get(attempt)
        if sub_request is None:
            self._counters.add(Metric.LATE_REPLIES)
            return
        reply = self._read_result(sub_request, result)
        self._gathering.accept(reply, now)
        self._counters.add(Metric.SUB_REPLIES, reply.reason.value)
        if reply.outcome is Outcome.RAN:
            self._allowance.window.record(Seconds(now - sub_request.sent), now)
            self._loads.note_ended(
                sub_request.upstream, host, Seconds(now - sub_request.sent), reply.wait
            )
        else:
            error = WorkError(reply.reason, reply.outcome)
            self._loads.note_failed(sub_request.upstream, host, error)
        self._retry(sub_request, reply)

    def _read_result(
        self, sub_request: PendingSubRequest, result: Message | WorkError
    ) -> SubReply:
        """Return the reply, or one that reports the failure of the call.

        A message of another request or type is discarded and counted.
        """
        match result:
            case SubReply(request=request) if request == self._search.request:
                return result
            case WorkError() as error:
                return self._make_failure(sub_request, error.reason, error.outcome)
            case _:
                self._counters.add(Metric.DISCARDED_REPLIES)
                return self._make_failure(
                    sub_request, Reason.WRONG_VERSION, Outcome.UNKNOWN
                )

    def _make_failure(
        self, sub_request: PendingSubRequest, reason: Reason, outcome: Outcome
    ) -> SubReply:
        return SubReply(
            request=self._search.request,
            attempt=sub_request.attempt,
            upstream=sub_request.upstream,
            outcome=outcome,
            reason=reason,
        )

    def _send(self, shards: Iterable[ShardId], *, is_hedge: bool = False) -> int:
        """Send shards to their best replicas; return how many had a usable one."""
        wanted = tuple(shards)
        assignment = assign_shards(
            self._gathering.shard_map,
            wanted,
            self._loads.expect,
            self._gathering.tried,
        )
        if not is_hedge:
            self._defer(assignment.unassigned)
        for upstream, given in assignment.parts.items():
            self._send_sub_request(upstream, given, is_hedge=is_hedge)
        return len(wanted) - len(assignment.unassigned)

    def _defer(self, shards: tuple[ShardId, ...]) -> None:
        """Defer shards without a usable replica, and retry them after a short delay.

        While seats move between hosts or an upstream restarts, a replica is unusable
        only for a moment.
        """
        self._gathering.note_unavailable(shards, Reason.NO_REPLICA)
        whole = self._gathering.deadline - self._gathering.started
        now = self._read_now()
        if now - self._gathering.started < DEFERRAL_SHARE * whole:
            self._gathering.deferred.update(filter(self._may_recover, shards))
            self._retry_deferred_at = Seconds(now + DEFERRED_RETRY_DELAY)

    def _may_recover(self, shard: ShardId) -> bool:
        replicas = self._gathering.shard_map.shards[shard]
        return any(self._loads.may_recover(upstream) for upstream in replicas)

    def _retry_deferred(self) -> None:
        if self._gathering.deferred and self._read_now() >= self._retry_deferred_at:
            shards = tuple(sorted(self._gathering.deferred))
            self._gathering.deferred.clear()
            self._send(shards)

    def _send_sub_request(
        self, upstream: UpstreamId, shards: tuple[ShardId, ...], *, is_hedge: bool
    ) -> None:
        now = Seconds(read_clock())
        owner = self._loads.choose_owner(upstream)
        if owner is None:
            if not is_hedge:
                self._defer(shards)
            return
        sub_request = self._gathering.open_sub_request(
            upstream, shards, now, is_hedge=is_hedge
        )
        self._loads.note_sent(upstream)
        self._counters.add(Metric.SUB_REQUESTS)
        self._counters.add(Metric.SHARD_REQUESTS, '', len(shards))
        if not is_hedge:
            self._allowance.deposit(upstream, len(shards))
        on_reply = partial(self._enqueue, sub_request.attempt)
        call = self._peers.post(owner, self._make_request(sub_request, now), on_reply)
        self._calls[sub_request.attempt] = (owner, call)

    def _enqueue(self, attempt: int, result: Message | WorkError) -> None:
        self._inbox.put_nowait((attempt, result))

    def _make_request(self, sub_request: PendingSubRequest, now: Seconds) -> SubRequest:
        return SubRequest(
            request=self._search.request,
            attempt=sub_request.attempt,
            upstream=sub_request.upstream,
            service=self._search.service,
            version=self._gathering.shard_map.version,
            shards=sub_request.shards,
            query=self._search.query,
            limit=self._search.limit,
            organisation=self._search.organisation,
            fingerprint=self._fingerprint,
            budget=Seconds(self._gathering.deadline - now),
            urgency=self._search.urgency,
        )

    def _retry(self, sub_request: PendingSubRequest, reply: SubReply) -> None:
        """Retry the shards of a failed sub-request if policy and budget allow it.

        Shards that an owner refused without calling the upstream are rerouted instead.
        """
        shards = self._gathering.find_unanswered(sub_request)
        if reply.reason in REROUTE_REASONS and reply.outcome is Outcome.NOT_RUN:
            self._reroute(sub_request, shards)
            return
        allowed = self._allowance.find_retry_limit()
        shards = tuple(
            shard for shard in shards if self._retry_counts.get(shard, 0) < allowed
        )
        if not shards:
            return
        is_shed = reply.outcome is Outcome.NOT_RUN and reply.reason in SHED_REASONS
        if is_shed and sub_request.is_hedge:
            return
        if not self._allowance.withdraw_retry(sub_request.upstream):
            self._counters.add(Metric.RETRIES_DENIED)
            return
        for shard in shards:
            self._retry_counts[shard] = self._retry_counts.get(shard, 0) + 1
        self._counters.add(Metric.RETRIES)
        self._send(shards)

    def _reroute(
        self, sub_request: PendingSubRequest, shards: tuple[ShardId, ...]
    ) -> None:
        """Send shards again after an owner refused them without calling the upstream.

        The same upstream may be tried again through another owner.
        """
        self._reroutes += 1
        if shards and self._reroutes <= MAX_REROUTES:
            for shard in shards:
                self._gathering.tried[shard].discard(sub_request.upstream)
            self._counters.add(Metric.REROUTES)
            self._send(shards)

    def _find_threshold(self) -> Seconds | None:
        """Return the seconds until a sub-request is slow, None when not to hedge.

        A search suspected of crashing upstreams is never hedged.
        """
        if self._suspects.is_suspect(self._fingerprint):
            return None
        return self._allowance.find_hedge_delay(Seconds(read_clock()))

    def _hedge_slow(self) -> None:
        threshold = self._find_threshold()
        if threshold is None:
            return
        now = self._read_now()
        for sub_request in self._gathering.find_slow(threshold, now):
            self._hedge(sub_request, now)

    def _hedge(self, sub_request: PendingSubRequest, now: Seconds) -> None:
        """Hedge the missing shards of a slow sub-request, if the budget allows it.

        If it does not, the hedge is tried again after a short delay; by then most
        sub-requests that were only a little slow have been answered.
        """
        shards = [
            shard
            for shard in sub_request.shards
            if shard not in self._gathering.covered
        ]
        if not self._allowance.withdraw_hedge(sub_request, len(shards), now):
            self._counters.add(Metric.HEDGES_DENIED)
            sub_request.hedge_after = Seconds(now + HEDGE_RETRY_DELAY)
            return
        sub_request.hedged = True
        found = self._send(shards, is_hedge=True)
        self._allowance.refund_unsent(sub_request, len(shards) - found)
        if not found:
            self._allowance.refund_retry(sub_request)
            return
        self._counters.add(Metric.HEDGES)
        self._counters.add(Metric.HEDGED_SHARDS, '', found)
        self._timeline.note(
            EventKind.HEDGE,
            f'attempt {sub_request.attempt} over {len(shards)} shards',
            request=self._search.request,
            upstream=sub_request.upstream,
        )

    def _cancel_sub_request(self, sub_request: PendingSubRequest, now: Seconds) -> None:
        """Cancel a sub-request that the search no longer waits for."""
        self._gathering.outstanding.pop(sub_request.attempt, None)
        host, call = self._calls.pop(sub_request.attempt)
        self._peers.forget(host, call)
        lasted = Seconds(now - sub_request.sent)
        self._allowance.window.record(lasted, now)
        self._loads.note_dropped(sub_request.upstream, lasted)
        cancel = CancelWork(
            self._search.request, sub_request.attempt, sub_request.upstream
        )
        self._peers.post(host, cancel, ignore_reply)
