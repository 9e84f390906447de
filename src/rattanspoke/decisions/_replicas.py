"""Which replica of a service to send to.

Load patterns: an upstream that pauses for a fraction of a second, one that runs many
times slower for seconds, one that is dark, one that sheds, one that fails fast. Each
loses its traffic within a few calls and gets it back when it has healed; one that
fails fast must not look idle.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, unique

from ..model import CallId, Seconds, UpstreamId, ZoneId
from ._concurrency import ConcurrencyLimit

OTHER_ZONE_COST = (
    1.8  # cost factor of a replica in another zone; bytes between zones are dear
)
SMOOTHING = 0.25  # weight of the newest sample in the moving average
FAILURE_SLOWNESS = 8  # a failed call counts like one this many times slower than usual
MIN_RATIO = 0.7  # a faster upstream looks no better than this beside an untried one
MIN_HALF_LIFE = Seconds(0.8)  # in which an unconfirmed slowness halves towards usual
HALF_LIFE_CALLS = 12  # calls of the service, if those take longer
MAX_HALF_LIFE = Seconds(4)  # so that a host with little traffic finds a healed upstream
SHED_PAUSE = Seconds(0.1)  # after an upstream said that it is full
INITIAL_PAUSE = Seconds(0.25)  # after a failure to connect; it doubles from then on
MAX_PAUSE = Seconds(2)  # so that a healed upstream is found within seconds
FAILURES_TO_PAUSE = 3  # calls lost in a row until an upstream that connects is paused


@unique
class Failure(Enum):
    """How a call to an upstream went wrong."""

    UNREACHABLE = 'unreachable'
    LOST = 'lost'
    SHED = 'shed'
    FAILED = 'failed'
    WRONG_UPSTREAM = 'foreign'


@dataclass(slots=True)
class Replica:
    """What this host saw of one upstream lately.

    Attributes:
        slots: requests that the upstream runs at once.
        calls: when each call in flight was sent.
        window: how many calls may be in flight.
        slowness: moving average of latency over what is usual for the route.
        fade_time: seconds in which slowness that no call confirms halves.
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
        """Learn from a call that took some multiple of what is usual."""
        self.concurrency.note_reply(ratio, len(self.calls) + 1, sent, now)
        self.failures = 0
        self.paused_until = Seconds(0)
        self._update_slowness(ratio, now)

    def note_slow(self, ratio: float, now: Seconds) -> None:
        """Learn from a call that was given up after some multiple of what is usual."""
        self._update_slowness(ratio, now)

    def note_failure(self, failure: Failure, sent: Seconds, now: Seconds) -> None:
        """Learn from a call that failed."""
        self._update_slowness(FAILURE_SLOWNESS, now)
        match failure:
            case Failure.SHED:
                self.concurrency.note_shed(sent, now)
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
        """Whether it may be sent work; after a pause one call at a time tries it."""
        if now < self.paused_until:
            return False
        if self.failures >= FAILURES_TO_PAUSE and self.calls:
            return False
        return self.concurrency.allows(len(self.calls))

    def estimate_cost(self, baseline: Seconds, now: Seconds) -> float:
        """Return the expected cost of one more call, as a multiple of usual."""
        oldest_age = now - min(self.calls.values(), default=now)
        slowness: float = max(self._decay_slowness(now), oldest_age / baseline)
        return slowness * (1 + len(self.calls) / self.slots)

    def _update_slowness(self, ratio: float, now: Seconds) -> None:
        decayed = self._decay_slowness(now)
        self.slowness = decayed + SMOOTHING * (max(ratio, MIN_RATIO) - decayed)
        self.updated_at = now

    def _decay_slowness(self, now: Seconds) -> float:
        """Return the slowness, nearer to usual the longer no call confirmed it."""
        decay: float = 0.5 ** ((now - self.updated_at) / self.half_life)
        return 1 + (self.slowness - 1) * decay

    def _pause(self, pause: Seconds, now: Seconds) -> None:
        self.paused_until = Seconds(max(self.paused_until, now + pause))

    def _choose_backoff(self, count: int) -> Seconds:
        return Seconds(min(MAX_PAUSE, INITIAL_PAUSE * 2 ** min(count - 1, 10)))


def choose_half_life(gap: Seconds) -> Seconds:
    """Return the seconds in which a slowness halves, at some time between calls.

    A host with little traffic that forgot within a fixed time would send every other
    call to an upstream that it found slow.

    Args:
        gap: usual seconds between this host's calls of the service.
    """
    return Seconds(min(MAX_HALF_LIFE, max(MIN_HALF_LIFE, gap * HALF_LIFE_CALLS)))


def choose_replica(
    replicas: Iterable[Replica], zone: ZoneId, baseline: Seconds, now: Seconds
) -> Replica | None:
    """Return the replica that is expected to answer first, None when all are closed.

    Args:
        replicas: those that may be sent the request.
        zone: that of this host.
        usual: seconds that a call of this route usually takes.
    """

    def cost(replica: Replica) -> float:
        factor = 1 if replica.zone == zone else OTHER_ZONE_COST
        return replica.estimate_cost(baseline, now) * factor

    is_available = [replica for replica in replicas if replica.is_available(now)]
    return min(is_available, key=cost, default=None)
