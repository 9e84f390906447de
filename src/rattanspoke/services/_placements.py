"""What this host learned of upstreams, and the extra sends that it may still use."""

import random
from collections import defaultdict
from collections.abc import Collection
from itertools import count

import structlog

from ..contracts import (
    COLD,
    DIRECTORY,
    FLEET,
    IDENTITY,
    RULES,
    UPSTREAM_GONE,
)
from ..decisions import (
    CallPace,
    Failure,
    RatioBudget,
    RecentLatency,
    Replica,
    choose_half_life,
    choose_hedge_delay,
    choose_replica,
    choose_retry_after,
    first_hedge,
    fit_extra_budget,
    is_waiting_useful,
    make_extra_budget,
    may_hedge,
    rank_pending,
)
from ..kernel import Kernel
from ..model import (
    MILLISECONDS,
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
from ._rooms import WaitingRoom
from ._tasks import read_clock

SILENT_RATIO = 8  # usual times without a reply that count as a failure
# Every reply makes room and wakes whoever is first; this bounds the wait when the
# upstreams that are busy fall silent and another one opens.
LOOK_AGAIN = Seconds(0.2)
LEAST_WAIT = Seconds(0.005)  # so that a pause's end, rounded, cannot spin
LEAST_USUAL = Seconds(0.002)
USUAL_PART = 0.15  # of the objective that a call usually takes, while none was seen


class HostPlacements:
    """Choose replicas by what became of the requests that this host sent them."""

    def __init__(self, kernel: Kernel, seed: int) -> None:
        self._random = random.Random(seed)
        self._log = structlog.get_logger()
        self._zone = kernel.find(IDENTITY).zone
        self._directory = kernel.find(DIRECTORY)
        self._fleet = kernel.find(FLEET)
        self._cold = kernel.find(COLD)
        self._rules = kernel.find(RULES)
        self._replicas: dict[UpstreamId, tuple[Incarnation, Replica]] = {}
        self._latencies: dict[RouteId, RecentLatency] = {}
        self._budgets: dict[ServiceId, RatioBudget] = {}
        self._rooms: dict[ServiceId, WaitingRoom] = defaultdict(WaitingRoom)
        self._paces: dict[ServiceId, CallPace] = defaultdict(CallPace)
        self._numbers = count(1)
        kernel.bus.subscribe(UPSTREAM_GONE, self._forget)

    def choose_hedge(
        self, service: ServiceId, route: Route, tried: Collection[UpstreamId]
    ) -> Registration | None:
        """Return an upstream for a second send, None when none has room to spare."""
        if not self._rooms[service].is_empty:
            return None
        return self._choose(service, route, tried)

    async def await_room(
        self, service: ServiceId, pending: PendingRequest, tried: Collection[UpstreamId]
    ) -> Registration | None:
        """Return the upstream to send to once one has room, None when none will."""
        queue_time = self._queue_time(service, pending)
        target = None
        if not queue_time:
            target = self._choose(service, pending.route, tried)
        while target is None:
            opens_in = self._opens_in(service, tried)
            queue_time = Seconds(queue_time + self._usual(pending.route))
            if not is_waiting_useful(opens_in, queue_time, pending, _now()):
                return None
            opens_in = max(opens_in or LOOK_AGAIN, LEAST_WAIT)
            left = Seconds(pending.give_up_at - read_clock())
            await self._rooms[service].wait(pending, min(left, opens_in))
            queue_time = Seconds(0)  # whoever is woken is the first
            target = self._choose(service, pending.route, tried)
        return target

    def return_in(self, service: ServiceId, pending: PendingRequest) -> Seconds:
        """Return the seconds after which a refused caller may be served."""
        return choose_retry_after(
            self._opens_in(service, ()),
            self._queue_time(service, pending),
            Seconds(pending.give_up_at - read_clock()),
            self._random.random(),
        )

    def hedge_after(self, service: ServiceId, route: Route) -> Seconds:
        """Return the seconds without a reply after which to ask a second upstream."""
        fill = self._budget(service).fill
        learned = choose_hedge_delay(self._recent(route), fill)
        return first_hedge(route.objective) if learned is None else learned

    def count_request(self, service: ServiceId) -> None:
        """Count a caller's request for a service, which earns it extra sends."""
        self._budget(service).earn()
        self._paces[service].record(_now())

    def spend_extra(self, service: ServiceId, kind: ExtraSend) -> bool:
        """Take one extra send from a service's budget; False when it is spent."""
        budget = self._budget(service)
        match kind:
            case ExtraSend.RETRY:
                return budget.spend()
            case ExtraSend.HEDGE:
                return may_hedge(budget) and budget.spend()

    def note_sent(self, target: Registration) -> CallId:
        """Count a request that is about to be sent, and return its number."""
        call = CallId(next(self._numbers))
        self._cold.note_sent(target.upstream)
        self._find(target).calls[call] = _now()
        return call

    def note_reply(
        self, target: Registration, call: CallId, route: Route, reply: UpstreamReply
    ) -> None:
        """Learn from a whole reply."""
        now = _now()
        replica, sent = self._end(target, call, now)
        if reply.is_success:
            took = Seconds(now - sent)
            replica.note_success(took / self._usual(route), sent, now)
            self._recent(route).record(took, now)
        elif reply.is_foreign:
            replica.note_failure(Failure.WRONG_UPSTREAM, sent, now)
        elif reply.outcome is Outcome.NOT_RUN:
            replica.note_failure(Failure.SHED, sent, now)
        else:
            replica.note_failure(Failure.FAILED, sent, now)
        self._log_pause(target, replica, now)

    def note_failure(
        self, target: Registration, call: CallId, route: Route, error: UpstreamError
    ) -> None:
        """Learn from a request that got no reply."""
        now = _now()
        replica, sent = self._end(target, call, now)
        ratio = (now - sent) / self._usual(route)
        match error.reason:
            case Reason.UPSTREAM_UNREACHABLE | Reason.UPSTREAM_REFUSED:
                replica.note_failure(Failure.UNREACHABLE, sent, now)
            case Reason.DEADLINE if ratio < SILENT_RATIO:
                replica.note_slow(ratio, now)  # it was given too little time
            case _:
                replica.note_failure(Failure.LOST, sent, now)
        self._log_pause(target, replica, now)

    def note_dropped(self, target: Registration, call: CallId, route: Route) -> None:
        """Learn from a request whose reply nobody waits for any more."""
        now = _now()
        replica, sent = self._end(target, call, now)
        ratio = (now - sent) / self._usual(route)
        if ratio > replica.slowness:
            replica.note_slow(ratio, now)

    def _choose(
        self, service: ServiceId, route: Route, tried: Collection[UpstreamId]
    ) -> Registration | None:
        """Return the upstream to send to next, None when none can take work now."""
        now = _now()
        targets = {
            target.upstream: target
            for target in self._directory.replicas(service)
            if target.upstream not in tried
        }
        replicas = [
            self._find(target)
            for target in targets.values()
            if self._cold.admits(target.upstream)
        ]
        half_life = choose_half_life(self._paces[service].gap)
        for replica in replicas:
            replica.half_life = half_life
        usual = self._usual(route)
        chosen = choose_replica(replicas, self._zone, usual, now)
        return None if chosen is None else targets[chosen.upstream]

    def _opens_in(
        self, service: ServiceId, tried: Collection[UpstreamId]
    ) -> Seconds | None:
        """Return the seconds until an untried upstream takes work, None without one.

        Zero for upstreams that are busy: every reply makes room.
        """
        now = read_clock()
        replicas = [
            self._find(target)
            for target in self._directory.replicas(service)
            if target.upstream not in tried
        ]
        if not replicas:
            return None
        opening = min(each.paused_until for each in replicas)
        return Seconds(max(0, opening - now))

    def _queue_time(self, service: ServiceId, pending: PendingRequest) -> Seconds:
        """Return the seconds until those that go before a waiter are sent."""
        room = self._rooms[service]
        if room.is_empty:
            return Seconds(0)
        before = room.list_before(pending, self._rank)
        usual = sum(self._usual(each.route) for each in before)
        replicas = [self._find(each) for each in self._directory.replicas(service)]
        limit = sum(each.concurrency.limit for each in replicas)
        return Seconds(usual / max(1, limit))

    def _rank(self, pending: PendingRequest) -> tuple[bool, int, float]:
        return rank_pending(pending, self._usual(pending.route), _now())

    def _log_pause(self, target: Registration, replica: Replica, now: Seconds) -> None:
        """Tell that an upstream is given a pause, and what led to it."""
        pause = replica.paused_until - now
        if pause <= 0:
            return
        self._log.info(
            'upstream paused',
            upstream=target.upstream,
            service=target.service,
            pause_ms=round(pause * MILLISECONDS),
            failures=replica.failures,
            slowness=round(replica.slowness, 1),
            limit=round(replica.concurrency.limit, 1),
        )

    def _end(
        self, target: Registration, call: CallId, now: Seconds
    ) -> tuple[Replica, Seconds]:
        """Forget a call in flight; return its replica and when it was sent."""
        replica = self._find(target)
        sent = replica.calls.pop(call, now)
        self._rooms[target.service].wake_first(self._rank)
        return replica, sent

    def _find(self, target: Registration) -> Replica:
        known = self._replicas.get(target.upstream)
        if known is None or known[0] != target.incarnation:
            replica = Replica(target.upstream, target.zone, target.slots)
            known = target.incarnation, replica
            self._replicas[target.upstream] = known
        return known[1]

    def _recent(self, route: Route) -> RecentLatency:
        return self._latencies.setdefault(route.route, RecentLatency())

    def _usual(self, route: Route) -> Seconds:
        learned = self._recent(route).estimate_baseline()
        if learned is None:
            return Seconds(max(LEAST_USUAL, route.objective * USUAL_PART))
        return Seconds(max(LEAST_USUAL, learned))

    def _budget(self, service: ServiceId) -> RatioBudget:
        rule, live_hosts = self._rules.current.extra, self._fleet.live_count
        budget = self._budgets.get(service)
        if budget is None:
            budget = make_extra_budget(
                rule.ratio, rule.slack, live_hosts, is_unspent=rule.is_unspent
            )
            self._budgets[service] = budget
        fit_extra_budget(budget, rule.ratio, rule.slack, live_hosts)
        return budget

    def _forget(self, upstream: UpstreamId) -> None:
        self._replicas.pop(upstream, None)


def _now() -> Seconds:
    return Seconds(read_clock())
