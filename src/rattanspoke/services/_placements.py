"""What this host learned of upstreams, and the extra sends that it may still use."""

from collections.abc import Collection
from itertools import count

from ..contracts import (
    DIRECTORY,
    FLEET,
    IDENTITY,
    STATE_CHANGED,
    BudgetRule,
)
from ..decisions import (
    Failure,
    RatioBudget,
    RecentLatency,
    Replica,
    choose_hedge_delay,
    choose_replica,
    first_hedge,
    make_extra_budget,
)
from ..kernel import Kernel
from ..model import (
    CallId,
    Incarnation,
    Outcome,
    Reason,
    Registration,
    Route,
    RouteId,
    Seconds,
    ServiceId,
    StateChange,
    StateKind,
    UpstreamError,
    UpstreamId,
    UpstreamReply,
)
from ._tasks import read_clock

USUAL_QUANTILE = 0.5
LEAST_USUAL = Seconds(0.002)
USUAL_PART = 0.15  # of the objective that a call usually takes, while none was seen


class HostPlacements:
    """Choose replicas by what became of the requests that this host sent them."""

    def __init__(self, kernel: Kernel, rule: BudgetRule) -> None:
        self._zone = kernel.find(IDENTITY).zone
        self._directory = kernel.find(DIRECTORY)
        self._fleet = kernel.find(FLEET)
        self._rule = rule
        self._replicas: dict[UpstreamId, tuple[Incarnation, Replica]] = {}
        self._latencies: dict[RouteId, RecentLatency] = {}
        self._budgets: dict[ServiceId, RatioBudget] = {}
        self._numbers = count(1)
        kernel.bus.subscribe(STATE_CHANGED, self._forget_gone)

    def choose(
        self, service: ServiceId, route: Route, tried: Collection[UpstreamId]
    ) -> Registration | None:
        """Return the upstream to send to next, None when none can take work now."""
        now = Seconds(read_clock())
        targets = {
            target.upstream: target
            for target in self._directory.replicas(service)
            if target.upstream not in tried
        }
        replicas = [self._find(target) for target in targets.values()]
        usual = self._usual(route)
        chosen = choose_replica(replicas, self._zone, usual, now)
        return None if chosen is None else targets[chosen.upstream]

    def return_in(self, service: ServiceId) -> Seconds:
        """Return the seconds until a service is expected to take work again."""
        now = read_clock()
        replicas = [self._find(each) for each in self._directory.replicas(service)]
        opening = min((each.paused_until for each in replicas), default=now)
        return Seconds(max(0, opening - now))

    def hedge_after(self, service: ServiceId, route: Route) -> Seconds:
        """Return the seconds without a reply after which to ask a second upstream."""
        fill = self._budget(service).fill
        learned = choose_hedge_delay(self._recent(route), fill)
        return first_hedge(route.objective) if learned is None else learned

    def count_request(self, service: ServiceId) -> None:
        """Count a caller's request for a service, which earns it extra sends."""
        self._budget(service).earn()

    def spend_extra(self, service: ServiceId) -> bool:
        """Take one extra send from a service's budget; False when it is spent."""
        return self._budget(service).spend()

    def note_sent(self, target: Registration) -> CallId:
        """Count a request that is about to be sent, and return its number."""
        call = CallId(next(self._numbers))
        self._find(target).calls[call] = Seconds(read_clock())
        return call

    def note_reply(
        self, target: Registration, call: CallId, route: Route, reply: UpstreamReply
    ) -> None:
        """Learn from a whole reply."""
        now = Seconds(read_clock())
        replica, took = self._end(target, call, now)
        if reply.is_success:
            usual = self._usual(route)
            self._recent(route).record(took)
            replica.note_success(took / usual, now)
        elif reply.is_foreign:
            replica.note_failure(Failure.FOREIGN, now)
        elif reply.outcome is Outcome.NOT_RUN:
            replica.note_failure(Failure.SHED, now)
        else:
            replica.note_failure(Failure.FAILED, now)

    def note_failure(
        self, target: Registration, call: CallId, route: Route, error: UpstreamError
    ) -> None:
        """Learn from a request that got no reply."""
        now = Seconds(read_clock())
        replica, _ = self._end(target, call, now)
        unreachable = error.reason is Reason.UPSTREAM_UNREACHABLE
        failure = Failure.UNREACHABLE if unreachable else Failure.LOST
        replica.note_failure(failure, now)

    def note_dropped(self, target: Registration, call: CallId, route: Route) -> None:
        """Learn from a request whose reply nobody waits for any more."""
        now = Seconds(read_clock())
        replica, lasted = self._end(target, call, now)
        ratio = lasted / self._usual(route)
        if ratio > replica.slowness:
            replica.note_slow(ratio, now)

    def _end(
        self, target: Registration, call: CallId, now: Seconds
    ) -> tuple[Replica, Seconds]:
        replica = self._find(target)
        sent = replica.calls.pop(call, now)
        return replica, Seconds(now - sent)

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
        learned = self._recent(route).measure(USUAL_QUANTILE)
        if learned is None:
            return Seconds(max(LEAST_USUAL, route.objective * USUAL_PART))
        return Seconds(max(LEAST_USUAL, learned))

    def _budget(self, service: ServiceId) -> RatioBudget:
        if service not in self._budgets:
            rule = self._rule
            self._budgets[service] = make_extra_budget(
                rule.ratio, rule.slack, self._fleet.live_count
            )
        return self._budgets[service]

    def _forget_gone(self, change: StateChange) -> None:
        if change.kind is StateKind.REGISTRATIONS and change.content is None:
            self._replicas.pop(UpstreamId(change.name), None)
