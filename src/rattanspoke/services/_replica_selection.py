"""Replica selection by observed latency and failures, and the retry budgets."""

import random
from collections import defaultdict
from collections.abc import Collection
from itertools import count

import structlog

from ..contracts import (
    DIRECTORY,
    FLEET,
    IDENTITY,
    RULES,
    SLOW_START_ADMISSION,
    UPSTREAM_GONE,
    UPSTREAM_NOTICES,
)
from ..decisions import (
    CallPace,
    Failure,
    RecentLatency,
    Replica,
    RetryBudget,
    choose_half_life,
    choose_hedge_delay,
    choose_initial_hedge_delay,
    choose_replica,
    choose_retry_after,
    is_waiting_useful,
    make_extra_budget,
    may_hedge,
    rank_pending,
    resize_extra_budget,
)
from ..kernel import Kernel
from ..model import (
    MS_PER_SECOND,
    CallId,
    ExtraSend,
    Incarnation,
    Outcome,
    PendingRequest,
    Reason,
    Registration,
    Route,
    RouteId,
    Seconds,
    ServiceId,
    UpstreamError,
    UpstreamId,
    UpstreamReply,
)
from ._request_queue import RequestQueue
from ._tasks import read_clock

# A call whose deadline passes sooner than this many times the baseline latency counts
# as slow only; after that, the missing reply counts as a failure.
FAILURE_LATENCY_RATIO = 8
# Every reply frees capacity and wakes the first pending request. This bounds the wait
# when the busy upstreams stop replying while another one becomes available.
RECHECK_INTERVAL = Seconds(0.2)
# Lower bound of a wait, so that the loop does not spin when rounding puts the wake-up
# just before the end of a pause.
MIN_WAIT = Seconds(0.005)
MIN_BASELINE = Seconds(0.002)  # lower bound of a route's baseline latency
# Baseline latency as a fraction of the route's objective, until calls were measured.
DEFAULT_BASELINE_SHARE = 0.15


class HostReplicaSelection:
    """Select replicas by the outcomes of the requests that this host sent them."""

    def __init__(self, kernel: Kernel, seed: int) -> None:
        self._random = random.Random(seed)
        self._log = structlog.get_logger()
        self._zone = kernel.find(IDENTITY).zone
        self._directory = kernel.find(DIRECTORY)
        self._fleet = kernel.find(FLEET)
        self._notices = kernel.find(UPSTREAM_NOTICES)
        self._slow_start = kernel.find(SLOW_START_ADMISSION)
        self._rules = kernel.find(RULES)
        self._replicas: dict[UpstreamId, tuple[Incarnation, Replica]] = {}
        self._latencies: dict[RouteId, RecentLatency] = {}
        self._budgets: dict[ServiceId, RetryBudget] = {}
        self._queues: dict[ServiceId, RequestQueue] = defaultdict(RequestQueue)
        self._paces: dict[ServiceId, CallPace] = defaultdict(CallPace)
        self._call_ids = count(1)
        kernel.bus.subscribe(UPSTREAM_GONE, self._forget_upstream)

    def choose_hedge_target(
        self, service: ServiceId, route: Route, tried: Collection[UpstreamId]
    ) -> Registration | None:
        """Return an upstream for a hedge, None when none has spare capacity."""
        if not self._queues[service].is_empty:
            return None
        return self._choose_target(service, route, tried)

    async def await_capacity(
        self, service: ServiceId, pending: PendingRequest, tried: Collection[UpstreamId]
    ) -> Registration | None:
        """Wait for an upstream with free capacity and return it.

        Returns:
            None when no upstream is expected to have capacity before the request has
            to give up.
        """
        queue_time = self._estimate_queue_time(service, pending)
        target = None
        if not queue_time:
            target = self._choose_target(service, pending.route, tried)
        while target is None:
            available_in = self._find_available_in(service, pending.route, tried)
            queue_time = Seconds(queue_time + self._estimate_baseline(pending.route))
            if not is_waiting_useful(available_in, queue_time, pending, _now()):
                return None
            available_in = max(available_in or RECHECK_INTERVAL, MIN_WAIT)
            time_left = Seconds(pending.give_up_at - read_clock())
            target, queue_time = await self._await_turn(
                service, pending, tried, Seconds(min(time_left, available_in))
            )
        return target

    def estimate_retry_after(
        self, service: ServiceId, pending: PendingRequest
    ) -> Seconds:
        """Return the seconds after which a refused caller should retry."""
        return choose_retry_after(
            self._find_available_in(service, pending.route, ()),
            self._estimate_queue_time(service, pending),
            Seconds(pending.give_up_at - read_clock()),
            self._random.random(),
        )

    def estimate_hedge_delay(self, service: ServiceId, route: Route) -> Seconds:
        """Return the seconds without a reply after which to send a hedge."""
        remaining_fraction = self._find_budget(service).remaining_fraction
        learned = choose_hedge_delay(self._find_latency(route), remaining_fraction)
        return (
            choose_initial_hedge_delay(route.objective) if learned is None else learned
        )

    def count_request(self, service: ServiceId) -> None:
        """Count a caller's request, which deposits into the service's retry budget."""
        self._find_budget(service).deposit()
        self._paces[service].record(_now())

    def withdraw_extra_send(self, service: ServiceId, kind: ExtraSend) -> bool:
        """Withdraw one extra send from a service's retry budget; False if denied."""
        budget = self._find_budget(service)
        match kind:
            case ExtraSend.RETRY:
                return budget.withdraw()
            case ExtraSend.HEDGE:
                return may_hedge(budget) and budget.withdraw()

    def note_sent(self, target: Registration) -> CallId:
        """Count a request that is about to be sent and return its call id."""
        call = CallId(next(self._call_ids))
        self._slow_start.note_sent(target.upstream)
        self._find_replica(target).calls[call] = _now()
        return call

    def note_reply(
        self, target: Registration, call: CallId, route: Route, reply: UpstreamReply
    ) -> None:
        """Update the upstream's statistics after a complete reply."""
        now = _now()
        replica, sent = self._finish_call(target, call, now)
        if reply.is_success:
            took = Seconds(now - sent)
            replica.note_success(took / self._estimate_baseline(route), sent, now)
            self._find_latency(route).record(took, now)
        else:
            replica.note_failure(_classify_failure(reply), sent, now)
        self._log_pause(target, replica, now)

    def note_failure(
        self, target: Registration, call: CallId, route: Route, error: UpstreamError
    ) -> None:
        """Update the upstream's statistics after a request without a complete reply."""
        now = _now()
        replica, sent = self._finish_call(target, call, now)
        ratio = (now - sent) / self._estimate_baseline(route)
        match error.reason:
            case Reason.UPSTREAM_UNREACHABLE | Reason.UPSTREAM_REFUSED:
                replica.note_failure(Failure.UNREACHABLE, sent, now)
            case Reason.UPSTREAM_DRAINING | Reason.UPSTREAM_QUIET:
                pass  # nothing was sent
            case Reason.DEADLINE if ratio < FAILURE_LATENCY_RATIO:
                # The deadline left too little time to call the upstream failed.
                replica.note_slow(ratio, now)
            case _:
                replica.note_failure(Failure.LOST, sent, now)
        self._log_pause(target, replica, now)

    def note_dropped(self, target: Registration, call: CallId, route: Route) -> None:
        """Update the upstream's statistics after a cancelled request."""
        now = _now()
        replica, sent = self._finish_call(target, call, now)
        ratio = (now - sent) / self._estimate_baseline(route)
        if ratio > replica.slowness:
            replica.note_slow(ratio, now)

    async def _await_turn(
        self,
        service: ServiceId,
        pending: PendingRequest,
        tried: Collection[UpstreamId],
        limit: Seconds,
    ) -> tuple[Registration | None, Seconds]:
        """Wait until a request ranks first, and choose an upstream for it then.

        Returns:
            The upstream, None when there is none or the request does not rank first,
            and the seconds until the requests that rank before it are sent.
        """
        queue = self._queues[service]
        is_first = await queue.wait(pending, limit)
        queue_time = Seconds(0)
        if not is_first:
            queue_time = self._estimate_queue_time(service, pending)
        if queue_time:
            return None, queue_time
        target = self._choose_target(service, pending.route, tried)
        if target is not None or tried:
            # There may be capacity for the next request as well, or capacity that a
            # request which was tried there already cannot use.
            queue.wake_first(self._rank)
        return target, queue_time

    def _choose_target(
        self, service: ServiceId, route: Route, tried: Collection[UpstreamId]
    ) -> Registration | None:
        """Return the upstream to send to next, None when none is available."""
        now = _now()
        targets = {
            target.upstream: target
            for target in self._list_targets(service, route, tried)
        }
        replicas = [
            self._find_replica(target)
            for target in targets.values()
            if self._notices.find_objection(target) is None
            and self._slow_start.admits(target.upstream)
        ]
        half_life = choose_half_life(self._paces[service].gap)
        for replica in replicas:
            replica.half_life = half_life
        baseline = self._estimate_baseline(route)
        chosen = choose_replica(replicas, self._zone, baseline, now)
        return None if chosen is None else targets[chosen.upstream]

    def _find_available_in(
        self, service: ServiceId, route: Route, tried: Collection[UpstreamId]
    ) -> Seconds | None:
        """Return the seconds until an untried upstream may get requests again.

        Returns:
            Zero when one is not paused, even if it is busy, since any reply frees
            capacity. None when every upstream was tried or the service has none.
        """
        now = read_clock()
        waits = [
            max(
                self._find_replica(target).paused_until - now,
                self._notices.measure_quiet(target),
            )
            for target in self._list_targets(service, route, tried)
        ]
        return Seconds(max(0, min(waits))) if waits else None

    def _estimate_queue_time(
        self, service: ServiceId, pending: PendingRequest
    ) -> Seconds:
        """Estimate the seconds until the requests queued ahead of one are sent."""
        queue = self._queues[service]
        if queue.is_empty:
            return Seconds(0)
        ahead = queue.list_ahead(pending, self._rank)
        total_time = sum(self._estimate_baseline(each.route) for each in ahead)
        replicas = [
            self._find_replica(each) for each in self._directory.replicas(service)
        ]
        limit = sum(each.concurrency.limit for each in replicas)
        return Seconds(total_time / max(1, limit))

    def _rank(self, pending: PendingRequest) -> tuple[bool, int, float]:
        return rank_pending(pending, self._estimate_baseline(pending.route), _now())

    def _list_targets(
        self, service: ServiceId, route: Route, tried: Collection[UpstreamId]
    ) -> list[Registration]:
        """Return the upstreams that the route's regions allow and were not tried."""
        regions = self._rules.current.regions
        return [
            target
            for target in self._notices.select(self._directory.replicas(service))
            if target.upstream not in tried
            and (not route.regions or regions.get(target.zone) in route.regions)
        ]

    def _log_pause(self, target: Registration, replica: Replica, now: Seconds) -> None:
        """Log that an upstream is paused, with the statistics that led to it."""
        pause = replica.paused_until - now
        if pause <= 0:
            return
        self._log.info(
            'upstream paused',
            upstream=target.upstream,
            service=target.service,
            pause_ms=round(pause * MS_PER_SECOND),
            failures=replica.failures,
            slowness=round(replica.slowness, 1),
            limit=round(replica.concurrency.limit, 1),
        )

    def _finish_call(
        self, target: Registration, call: CallId, now: Seconds
    ) -> tuple[Replica, Seconds]:
        """Remove a call in flight and wake the next pending request.

        Returns:
            The replica and the time at which the call was sent.
        """
        replica = self._find_replica(target)
        sent = replica.calls.pop(call, now)
        self._queues[target.service].wake_first(self._rank)
        return replica, sent

    def _find_replica(self, target: Registration) -> Replica:
        known = self._replicas.get(target.upstream)
        if known is None or known[0] != target.incarnation:
            replica = Replica(target.upstream, target.zone, target.slots)
            known = target.incarnation, replica
            self._replicas[target.upstream] = known
        return known[1]

    def _find_latency(self, route: Route) -> RecentLatency:
        return self._latencies.setdefault(route.route, RecentLatency())

    def _estimate_baseline(self, route: Route) -> Seconds:
        learned = self._find_latency(route).estimate_baseline()
        if learned is None:
            return Seconds(max(MIN_BASELINE, route.objective * DEFAULT_BASELINE_SHARE))
        return Seconds(max(MIN_BASELINE, learned))

    def _find_budget(self, service: ServiceId) -> RetryBudget:
        rule, live_hosts = (
            self._rules.current.retry_budget,
            self._fleet.known_host_count,
        )
        budget = self._budgets.get(service)
        if budget is None:
            budget = make_extra_budget(
                rule.ratio, rule.slack, live_hosts, starts_full=rule.starts_full
            )
            self._budgets[service] = budget
        resize_extra_budget(budget, rule.ratio, rule.slack, live_hosts, rule.window)
        budget.refill(_now())
        return budget

    def _forget_upstream(self, upstream: UpstreamId) -> None:
        self._replicas.pop(upstream, None)


def _classify_failure(reply: UpstreamReply) -> Failure:
    match reply:
        case UpstreamReply(is_misdirected=True):
            return Failure.WRONG_UPSTREAM
        case UpstreamReply(quiet_time=None, outcome=Outcome.NOT_RUN):
            return Failure.SHED
        case UpstreamReply(quiet_time=None):
            return Failure.FAILED
        case _:
            return Failure.OVERLOADED


def _now() -> Seconds:
    return Seconds(read_clock())
