"""Latency that a host measures from the replies it receives.

It serves two decisions: the latency quantile after which a search hedges, and the
expected latency by which a search selects replicas.
"""

from collections import deque
from dataclasses import dataclass, field
from statistics import median

from hdrh.histogram import HdrHistogram

from ..model import Seconds

MICROSECONDS_PER_SECOND = 1_000_000
MAX_LATENCY = 60 * MICROSECONDS_PER_SECOND  # longer calls count as this many us
SIGNIFICANT_DIGITS = 2  # precision of a recorded latency
QUANTILE_STEPS = 8  # distinct quantiles between a full hedge budget and an empty one
# Quantile of an empty hedge budget, as a fraction of the way from the lowest quantile
# to the slowest call.
MAX_QUANTILE_SHIFT = 0.6
LATENCY_WINDOW = Seconds(5)
MIN_SAMPLES = 100  # calls in a window before its quantiles are used
RECENT_CALLS = 9  # calls of an upstream of which the median is taken
LOAD_HALF_LIFE = Seconds(2)  # time without a reply after which a latency is halved
MIN_EXPECTED_LATENCY = Seconds(0.0005)
DEFAULT_LATENCY = Seconds(0.005)  # of an upstream without any replies yet


class LatencyWindow:
    """Latency quantiles over the last finished window of a service's sub-requests.

    A window with too few calls is extended by more time instead of being finished.
    """

    __slots__ = ('_cache', '_current', '_ends', '_finished')

    def __init__(self) -> None:
        self._current = HdrHistogram(1, MAX_LATENCY, SIGNIFICANT_DIGITS)
        self._finished: HdrHistogram | None = None
        self._ends = Seconds(0)
        self._cache: dict[float, Seconds | None] = {}

    def record(self, took: Seconds, now: Seconds) -> None:
        """Record the latency of a call.

        Args:
            took: the latency in seconds; for a cancelled call, the time until then.
            now: the time, on the loop's clock.
        """
        if now >= self._ends:
            self._rotate(now)
        self._current.record_value(
            min(MAX_LATENCY, max(1, int(took * MICROSECONDS_PER_SECOND)))
        )

    def measure(self, quantile: float, now: Seconds) -> Seconds | None:
        """Return a latency quantile in seconds, None until a window has finished.

        Args:
            quantile: the quantile, from 0 to 1.
            now: the time, on the loop's clock.
        """
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
    """Return the latency quantile after which to hedge.

    The quantile rises as the hedge budget runs out. Only stragglers last until a high
    quantile, so what is left of the budget goes to them.

    Args:
        lowest: the quantile while the budget is full.
        remaining_fraction: the fraction of the budget that is left.
    """
    steps = round((1 - remaining_fraction) * QUANTILE_STEPS) / QUANTILE_STEPS
    return lowest + (1 - lowest) * MAX_QUANTILE_SHIFT * steps


@dataclass(slots=True)
class UpstreamLoad:
    """The load of one upstream as seen by a host that sends sub-requests to it.

    Attributes:
        outstanding: sub-requests that were sent and not answered yet.
        wait: seconds in the queue for new work, as reported in the last owner's reply.
        last_reply_at: the time of the last reply.
        recent: latencies of the last calls, in seconds.
    """

    outstanding: int = 0
    wait: Seconds = Seconds(0)
    last_reply_at: Seconds = Seconds(0)
    recent: deque[float] = field(default_factory=lambda: deque(maxlen=RECENT_CALLS))

    def note_reply(self, took: Seconds, wait: Seconds, now: Seconds) -> None:
        """Record the latency of a call.

        Args:
            took: the latency in seconds; for a cancelled call, the time until then.
            wait: seconds for which the owner would queue new work.
            now: the time, on the loop's clock.
        """
        self.recent.append(took)
        self.wait = wait
        self.last_reply_at = now

    def expect(self, slots: int, now: Seconds) -> float:
        """Return the seconds that a new sub-request is expected to take.

        The median ignores single stragglers. The learned latency decays while no reply
        arrives, so an upstream that was slow is selected again and its recovery is
        noticed.

        Args:
            slots: the number of calls that the upstream runs at once.
            now: the time, on the loop's clock.
        """
        typical_latency = median(self.recent) if self.recent else DEFAULT_LATENCY
        age = max(0, now - self.last_reply_at)
        decay: float = 0.5 ** (age / LOAD_HALF_LIFE)
        learned = (typical_latency + self.wait) * decay
        return float(max(learned, MIN_EXPECTED_LATENCY)) * (
            1 + self.outstanding / max(1, slots)
        )
