"""Track the latency of a route's calls, and choose the delay before a hedge.

Load pattern: a tenth of the upstreams becomes many times slower for some seconds. The
high quantiles of the latency then follow the slow upstreams, and a hedge sent after
such a quantile would come too late. The median does not change, so a multiple of it
caps the delay.
"""

from bisect import insort
from collections import deque
from dataclasses import dataclass, field

from ..model import Seconds

MAX_SAMPLES = 300  # latest calls of a route that are kept, over all upstreams
MIN_SAMPLES = 20  # calls without which no quantile is estimated
MEDIAN = 0.5
MEDIAN_INTERVAL = Seconds(1)  # between two medians that are kept
# A queue that lasts longer than all kept medians becomes part of the baseline.
KEPT_MEDIANS = 30
# Latency quantiles after which a hedge is sent, with a full and an empty retry budget.
FULL_BUDGET_QUANTILE = 0.86
EMPTY_BUDGET_QUANTILE = 0.97
# Bounds of the hedge delay, as multiples of the median. Below the lower one, most calls
# are about to end without a hedge. The upper one depends on the retry budget.
MIN_DELAY_FACTOR = 1.3
FULL_BUDGET_CAP = 2
EMPTY_BUDGET_CAP = 5
GAP_SMOOTHING = 0.1  # weight of the newest gap in the moving average


@dataclass(slots=True)
class RecentLatency:
    """Estimate latency quantiles of a route, and its latency without queueing."""

    _order: deque[float] = field(default_factory=deque)
    _sorted: list[float] = field(default_factory=list)
    _medians: deque[float] = field(default_factory=lambda: deque(maxlen=KEPT_MEDIANS))
    _next_median_at: Seconds = Seconds(0)

    def record(self, took: Seconds, now: Seconds) -> None:
        """Record the latency in seconds of a call that returned a complete reply."""
        median = self.estimate_quantile(MEDIAN)
        if now >= self._next_median_at and median is not None:
            self._medians.append(median)
            self._next_median_at = Seconds(now + MEDIAN_INTERVAL)
        self._order.append(took)
        insort(self._sorted, took)
        if len(self._order) > MAX_SAMPLES:
            self._sorted.remove(self._order.popleft())

    def estimate_quantile(self, quantile: float) -> Seconds | None:
        """Return a latency quantile in seconds, None with too few calls."""
        if len(self._sorted) < MIN_SAMPLES:
            return None
        return Seconds(self._sorted[int(quantile * (len(self._sorted) - 1))])

    def estimate_baseline(self) -> Seconds | None:
        """Return the lowest recent median in seconds, None with too few calls.

        One median a second is kept for 30 s. The current median rises with a queue
        that builds up at every upstream, so a comparison with it would not show that
        queue.
        """
        median = self.estimate_quantile(MEDIAN)
        if median is None:
            return None
        return Seconds(min(median, min(self._medians, default=median)))


@dataclass(slots=True)
class CallPace:
    """Track the average time between calls.

    Attributes:
        gap: the moving average of the seconds between two calls.
    """

    gap: Seconds = Seconds(0)
    _latest: Seconds | None = None

    def record(self, now: Seconds) -> None:
        """Record the time of a call."""
        if self._latest is not None:
            elapsed = now - self._latest
            self.gap = Seconds(self.gap + GAP_SMOOTHING * (elapsed - self.gap))
        self._latest = now


def choose_hedge_delay(
    recent: RecentLatency, remaining_fraction: float
) -> Seconds | None:
    """Return the seconds without a reply after which to send a hedge.

    The fuller the retry budget, the earlier the hedge. The result is None while too
    few calls of the route are recorded.

    Args:
        recent: the latencies of the route.
        remaining_fraction: the unspent fraction of the retry budget, from 0 to 1.
    """
    spent = 1 - max(0, min(1, remaining_fraction))
    quantile = (
        FULL_BUDGET_QUANTILE + (EMPTY_BUDGET_QUANTILE - FULL_BUDGET_QUANTILE) * spent
    )
    current_median, high_quantile = (
        recent.estimate_quantile(MEDIAN),
        recent.estimate_quantile(quantile),
    )
    if current_median is None or high_quantile is None:
        return None
    cap = current_median * (
        FULL_BUDGET_CAP + (EMPTY_BUDGET_CAP - FULL_BUDGET_CAP) * spent
    )
    return Seconds(min(max(high_quantile, current_median * MIN_DELAY_FACTOR), cap))
