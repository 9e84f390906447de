"""Slow start: rate limits for upstreams that are registered as cold."""

from dataclasses import dataclass

from ..contracts import FLEET, IDENTITY, RULES, SHARED_STATE, STATE_CHANGED
from ..decisions import SlowStartLimit, TokenBucket, make_slow_start_bucket
from ..kernel import Kernel
from ..model import (
    Registration,
    Seconds,
    StateChange,
    UpstreamId,
)
from ._tasks import read_clock


@dataclass(slots=True)
class _ColdUpstream:
    """An upstream in slow start.

    Attributes:
        until: when the slow start ends, on the loop's clock.
        bucket: rate limit of this host; None if this host may send nothing.
    """

    until: Seconds
    bucket: TokenBucket | None


class HostSlowStartAdmission:
    """Keep a token bucket for each cold upstream whose service sets a cold rate."""

    def __init__(self, kernel: Kernel) -> None:
        self._rules = kernel.find(RULES)
        self._state = kernel.find(SHARED_STATE)
        self._fleet = kernel.find(FLEET)
        self._host = kernel.find(IDENTITY).host
        self._cold: dict[UpstreamId, _ColdUpstream] = {}
        kernel.bus.subscribe(STATE_CHANGED, self._note_change)

    def admits(self, upstream: UpstreamId) -> bool:
        """Whether this host may send an upstream another request now."""
        slow_start = self._find(upstream)
        if slow_start is None:
            return True
        bucket = slow_start.bucket
        return bucket is not None and bucket.has_tokens(Seconds(read_clock()))

    def note_sent(self, upstream: UpstreamId) -> None:
        """Count a request that is about to be sent against the upstream's limit."""
        slow_start = self._find(upstream)
        if slow_start is not None and slow_start.bucket is not None:
            slow_start.bucket.take(Seconds(read_clock()))

    def _find(self, upstream: UpstreamId) -> _ColdUpstream | None:
        slow_start = self._cold.get(upstream)
        if slow_start is not None and read_clock() >= slow_start.until:
            del self._cold[upstream]
            return None
        return slow_start

    def _note_change(self, change: StateChange) -> None:
        match change.content:
            case Registration(cold_left=cold_left) as registration if cold_left > 0:
                self._add_cold(registration)
            case Registration(upstream=upstream):
                self._cold.pop(upstream, None)

    def _add_cold(self, registration: Registration) -> None:
        desired = self._state.desired
        traits = desired.services.get(registration.service) if desired else None
        if traits is None or traits.cold_rate <= 0:
            return
        now = Seconds(read_clock())
        until = Seconds(now + registration.cold_left)
        known = self._find(registration.upstream)
        if known is not None:
            known.until = until
            return
        rule = self._rules.current.slow_start
        bucket = make_slow_start_bucket(
            SlowStartLimit(rule.factor, rule.slack),
            traits.cold_rate,
            self._host,
            self._fleet.known_hosts(),
            registration.upstream,
            now,
        )
        self._cold[registration.upstream] = _ColdUpstream(until, bucket)
