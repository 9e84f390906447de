"""What a host learns of latency from the replies that it sees."""

from collections import deque
from dataclasses import dataclass, field
from statistics import median

from hdrh.histogram import HdrHistogram

from ..model import Seconds

MICROSECONDS_PER_SECOND = 1_000_000  # in a second
MAX_LATENCY = 60 * MICROSECONDS_PER_SECOND
SIGNIFICANT_DIGITS = 2  # significant digits of a recorded latency
QUANTILE_STEPS = 8  # between a full budget and an empty one
MAX_QUANTILE_SHIFT = 0.6  # of the way from the lowest quantile to the slowest call
LATENCY_WINDOW = Seconds(5)
MIN_SAMPLES = 100
RECENT_CALLS = 9
LOAD_HALF_LIFE = Seconds(
    2
)  # a load not confirmed for this long is halved towards usual
MIN_EXPECTED_LATENCY = Seconds(0.0005)  # that any call is expected to take
DEFAULT_LATENCY = Seconds(0.005)


class LatencyWindow:
    """Quantiles over the last finished window of a service's sub-requests."""

    __slots__ = ('_cache', '_current', '_ends', '_finished')

    def __init__(self) -> None:
        self._current = HdrHistogram(1, MAX_LATENCY, SIGNIFICANT_DIGITS)
        self._finished: HdrHistogram | None = None
        self._ends = Seconds(0)
        self._cache: dict[float, Seconds | None] = {}

    def record(self, took: Seconds, now: Seconds) -> None:
        """Count one latency; a cancelled call counts with the time it had lasted."""
        if now >= self._ends:
            self._rotate(now)
        self._current.record_value(
            min(MAX_LATENCY, max(1, int(took * MICROSECONDS_PER_SECOND)))
        )

    def measure(self, quantile: float, now: Seconds) -> Seconds | None:
        """Return a quantile, None while too few calls were seen."""
        if now >= self._ends:
            self._rotate(now)
        if quantile not in self._cache:
            source = self._finished
            if source is None:
                return None
            value = source.get_value_at_percentile(quantile * 100)
            self._cache[quantile] = Seconds(value / MICROSECONDS_PER_SECOND)
        return self._cache[quantile]

    def _rotate(self, now: Seconds) -> None:
        if self._current.get_total_count() >= MIN_SAMPLES:
            self._finished = self._current
            self._cache.clear()
            self._current = HdrHistogram(1, MAX_LATENCY, SIGNIFICANT_DIGITS)
        self._ends = Seconds(
            now + (LATENCY_WINDOW if self._finished else LATENCY_WINDOW / 10)
        )


def choose_hedge_quantile(lowest: float, remaining_fraction: float) -> float:
    """Return the quantile after which to hedge, later as the budget runs out.

    Only stragglers last until a late quantile, so the last of a budget goes to them.

    Args:
        lowest: the quantile while the budget is full.
        fill: what is left of the budget, as a fraction.
    """
    steps = round((1 - remaining_fraction) * QUANTILE_STEPS) / QUANTILE_STEPS
    return lowest + (1 - lowest) * MAX_QUANTILE_SHIFT * steps


@dataclass(slots=True)
class UpstreamLoad:
    """What an entry host saw of one upstream lately.

    Attributes:
        outstanding: sub-requests sent and not answered.
        wait: seconds of queueing that the owner last told of.
        seen: the time of the last reply.
        recent: seconds that the last calls took.
    """

    outstanding: int = 0
    wait: Seconds = Seconds(0)
    last_reply_at: Seconds = Seconds(0)
    recent: deque[float] = field(default_factory=lambda: deque(maxlen=RECENT_CALLS))

    def note_reply(self, took: Seconds, wait: Seconds, now: Seconds) -> None:
        """Count a reply or, with the time that it had lasted, a cancelled call."""
        self.recent.append(took)
        self.wait = wait
        self.last_reply_at = now

    def expect(self, slots: int, now: Seconds) -> float:
        """Return the seconds that a new sub-request is expected to take.

        The median forgives single stragglers. A figure that no reply confirms fades,
        so an upstream that was slow is found again once it has healed.
        """
        usual = median(self.recent) if self.recent else DEFAULT_LATENCY
        age = max(0, now - self.last_reply_at)
        decay: float = 0.5 ** (age / LOAD_HALF_LIFE)
        learned = (usual + self.wait) * decay
        return float(max(learned, MIN_EXPECTED_LATENCY)) * (
            1 + self.outstanding / max(1, slots)
        )
