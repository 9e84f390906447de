"""The notices of upstreams: that they shut down, or want no requests for a while."""

from collections.abc import Iterable

import structlog

from ..contracts import COUNTERS, RULES, RULES_CHANGED, STATE_CHANGED, EdgeRules, Metric
from ..decisions import UpstreamNotices
from ..kernel import Kernel
from ..model import (
    Incarnation,
    Reason,
    Registration,
    Seconds,
    StateChange,
    StateKind,
    UpstreamId,
    UpstreamReply,
)
from ._tasks import read_clock


class HostUpstreamNotices:
    """Keep what replies to this host say about their upstreams.

    It holds whether the store is in touch or not, and whether or not the reply was
    passed on to a caller.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._counters = kernel.find(COUNTERS)
        self._notices = UpstreamNotices(kernel.find(RULES).current.drain_time)
        self._registered: dict[UpstreamId, Registration] = {}
        self._log = structlog.get_logger()
        kernel.bus.subscribe(RULES_CHANGED, self._apply_rules)
        kernel.bus.subscribe(STATE_CHANGED, self._note_change)

    def note_reply(self, target: Registration, reply: UpstreamReply) -> None:
        """Record what a reply says about the upstream that sent it."""
        now = Seconds(read_clock())
        if reply.is_misdirected:
            return  # another upstream sent it
        if reply.is_leaving and self._notices.note_leaving(target.incarnation, now):
            self._counters.add(Metric.LEAVING_NOTICES)
            self._log.info(
                'upstream leaves', upstream=target.upstream, service=target.service
            )
        if reply.quiet_time is not None:
            left = self._notices.note_quiet(target.incarnation, reply.quiet_time, now)
            self._counters.add(Metric.QUIET_NOTICES)
            self._log.info(
                'upstream wants quiet',
                upstream=target.upstream,
                service=target.service,
                quiet_ms=round(left * 1000),
            )

    def select(self, targets: Iterable[Registration]) -> tuple[Registration, ...]:
        """Return the upstreams of a service that are not leaving.

        If all of them are, those that can still serve a request.
        """
        candidates = tuple(targets)
        staying = tuple(
            each
            for each in candidates
            if not self._notices.is_leaving(each.incarnation)
        )
        if staying or not candidates:
            return staying
        now = Seconds(read_clock())
        return tuple(
            each
            for each in candidates
            if self._notices.is_usable(each.incarnation, now)
        )

    def measure_quiet(self, target: Registration) -> Seconds:
        """Return the seconds for which an upstream still wants no requests."""
        return self._notices.measure_quiet(target.incarnation, Seconds(read_clock()))

    def find_objection(self, target: Registration) -> Reason | None:
        """Return why a request that was chosen an upstream must not be sent now."""
        now = Seconds(read_clock())
        if not self._notices.is_usable(target.incarnation, now):
            return Reason.UPSTREAM_DRAINING
        if self._notices.measure_quiet(target.incarnation, now):
            return Reason.UPSTREAM_QUIET
        return None

    def _apply_rules(self, rules: EdgeRules) -> None:
        self._notices.drain_time = rules.drain_time

    def _note_change(self, change: StateChange) -> None:
        """Forget the notices of incarnations that have ended.

        An entry that vanishes proves no end, as it may have lapsed in an outage. One
        without a start time does not distinguish incarnations, so its end is assumed.
        """
        if change.kind is not StateKind.REGISTRATIONS:
            return
        name = UpstreamId(change.name)
        former = self._registered.pop(name, None)
        current: Incarnation | None = None
        if isinstance(change.content, Registration):
            self._registered[name] = change.content
            current = change.content.incarnation
        if former is None or former.incarnation == current:
            return
        if current is not None or not former.started:
            self._notices.forget(former.incarnation)
