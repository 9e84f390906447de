"""Select the replica of a service that gets a request.

Load patterns: an upstream pauses for a fraction of a second, runs many times slower for
some seconds, does not respond at all, sheds load, or fails fast. In each case it loses
its traffic within a few calls and gets it back after it has recovered. An upstream that
fails fast has few calls in flight, but must not be taken for an idle one.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, unique

from ..model import CallId, Seconds, UpstreamId, ZoneId
from ._concurrency import ConcurrencyLimit

# Cost factor of a replica in another zone, because traffic between zones is expensive.
OTHER_ZONE_COST = 1.8
SMOOTHING = 0.25  # weight of the newest sample in the moving average
# A failed call counts like one that took this many times the baseline latency.
FAILURE_SLOWNESS = 8
# Lower bound of a sample, so that a fast upstream does not seem much better than one
# that has not been tried yet.
MIN_RATIO = 0.7
# Half-life of the deviation of the slowness from 1, while no call confirms it. It is as
# long as HALF_LIFE_CALLS calls of the service take, within these bounds. The upper one
# lets a host with little traffic find an upstream that has recovered.
MIN_HALF_LIFE = Seconds(0.8)
HALF_LIFE_CALLS = 12
MAX_HALF_LIFE = Seconds(4)
SHED_PAUSE = Seconds(0.1)  # after an upstream refused a call because it is full
# Exponential backoff: the first failure to connect pauses an upstream for
# INITIAL_PAUSE, and each further one doubles the pause. The maximum lets this host find
# an upstream that has recovered within seconds.
INITIAL_PAUSE = Seconds(0.25)
MAX_PAUSE = Seconds(2)
# Consecutive failed calls after which an upstream is paused although it accepts
# connections.
FAILURES_TO_PAUSE = 3


@unique
class Failure(Enum):
    """How a call to an upstream failed.

    Attributes:
        UNREACHABLE: the connection could not be opened, or was refused.
        LOST: no reply to a call that was sent.
        SHED: the upstream did not run the request.
        OVERLOADED: the upstream wants no requests for a while.
        FAILED: the upstream replied with an error.
        WRONG_UPSTREAM: another upstream has the address now.
    """

    UNREACHABLE = 'unreachable'
    LOST = 'lost'
    SHED = 'shed'
    OVERLOADED = 'overloaded'
    FAILED = 'failed'
    WRONG_UPSTREAM = 'foreign'


@dataclass(slots=True)
class Replica:
    """The recent behaviour of one upstream, as this host observed it.

    Attributes:
        upstream: the upstream.
        zone: the availability zone of the upstream.
        slots: the number of requests that the upstream runs at once.
        calls: the time at which each call in flight was sent.
        concurrency: the limit on the calls in flight.
        slowness: the moving average of the latency, as a multiple of the baseline
            latency of the route.
        half_life: the seconds in which the deviation of the slowness from 1 halves
            while no call confirms it.
        updated_at: the time of the last change of the slowness.
        failures: the number of failed calls since the last success. Calls that the
            upstream shed are not counted.
        paused_until: the time before which the upstream gets no calls.
    """

    upstream: UpstreamId
    zone: ZoneId
    slots: int
    calls: dict[CallId, Seconds] = field(default_factory=dict)
    concurrency: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    slowness: float = 1
    half_life: Seconds = MIN_HALF_LIFE
    updated_at: Seconds = Seconds(0)
    failures: int = 0
    paused_until: Seconds = Seconds(0)

    def note_success(self, ratio: float, sent: Seconds, now: Seconds) -> None:
        """Record a successful call that took `ratio` times the baseline latency."""
        self.concurrency.note_reply(ratio, len(self.calls) + 1, sent, now)
        self.failures = 0
        self.paused_until = Seconds(0)
        self._update_slowness(ratio, now)

    def note_slow(self, ratio: float, now: Seconds) -> None:
        """Record a call that was abandoned after `ratio` times the baseline latency."""
        self._update_slowness(ratio, now)

    def note_failure(self, failure: Failure, sent: Seconds, now: Seconds) -> None:
        """Record a failed call, and pause the upstream if it should get no calls."""
        self._update_slowness(FAILURE_SLOWNESS, now)
        match failure:
            case Failure.SHED:
                self.concurrency.note_shed(sent, now)
                self._pause(SHED_PAUSE, now)
            case Failure.OVERLOADED:
                self.concurrency.restart(now)
                self._pause(SHED_PAUSE, now)
            case Failure.UNREACHABLE | Failure.WRONG_UPSTREAM:
                self.failures += 1
                self._pause(self._choose_backoff(self.failures), now)
            case Failure.LOST | Failure.FAILED:
                self.failures += 1
                if self.failures >= FAILURES_TO_PAUSE:
                    excess = self.failures - FAILURES_TO_PAUSE + 1
                    self._pause(self._choose_backoff(excess), now)

    def is_available(self, now: Seconds) -> bool:
        """Whether the upstream may get a call.

        After repeated failures and a pause, it gets one call at a time as a probe.
        """
        if now < self.paused_until:
            return False
        if self.failures >= FAILURES_TO_PAUSE and self.calls:
            return False
        return self.concurrency.allows(len(self.calls))

    def estimate_cost(self, baseline: Seconds, now: Seconds) -> float:
        """Return the expected cost of one more call, as a multiple of the baseline."""
        oldest_age = now - min(self.calls.values(), default=now)
        slowness: float = max(self._decay_slowness(now), oldest_age / baseline)
        return slowness * (1 + len(self.calls) / self.slots)

    def _update_slowness(self, ratio: float, now: Seconds) -> None:
        decayed = self._decay_slowness(now)
        self.slowness = decayed + SMOOTHING * (max(ratio, MIN_RATIO) - decayed)
        self.updated_at = now

    def _decay_slowness(self, now: Seconds) -> float:
        """Return the slowness, decayed towards 1 since the last recorded call."""
        decay: float = 0.5 ** ((now - self.updated_at) / self.half_life)
        return 1 + (self.slowness - 1) * decay

    def _pause(self, pause: Seconds, now: Seconds) -> None:
        self.paused_until = Seconds(max(self.paused_until, now + pause))

    def _choose_backoff(self, count: int) -> Seconds:
        return Seconds(min(MAX_PAUSE, INITIAL_PAUSE * 2 ** min(count - 1, 10)))


def choose_half_life(gap: Seconds) -> Seconds:
    """Return the half-life of a learned slowness, in seconds.

    It grows with the time between calls. With a fixed half-life, a host with little
    traffic would send every other call to an upstream that it has found to be slow.

    Args:
        gap: the average seconds between this host's calls of the service.
    """
    return Seconds(min(MAX_HALF_LIFE, max(MIN_HALF_LIFE, gap * HALF_LIFE_CALLS)))


def choose_replica(
    replicas: Iterable[Replica], zone: ZoneId, baseline: Seconds, now: Seconds
) -> Replica | None:
    """Return the replica with the lowest expected cost, None when none may get a call.

    The cost is the expected latency; replicas in other zones cost more.

    Args:
        replicas: the replicas that may get the request.
        zone: the availability zone of this host.
        baseline: the seconds that a call of this route takes without queueing.
        now: the time.
    """

    def cost(replica: Replica) -> float:
        factor = 1 if replica.zone == zone else OTHER_ZONE_COST
        return replica.estimate_cost(baseline, now) * factor

    available = [replica for replica in replicas if replica.is_available(now)]
    return min(available, key=cost, default=None)
