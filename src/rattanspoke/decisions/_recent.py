"""What a route's calls took lately, and after which silence to ask a second upstream.

Load pattern: a tenth of the upstreams turns many times slower for seconds. The high
quantiles then follow the slow ones, and a hedge that waited for them would come too
late; the median does not move, so it caps the wait.
"""

from bisect import insort
from collections import deque
from dataclasses import dataclass, field

from ..model import Seconds

MAX_SAMPLES = 300  # calls of a route, over all upstreams
MIN_SAMPLES = 20  # calls from which quantiles are taken
MEDIAN = 0.5
MEDIAN_INTERVAL = Seconds(1)  # between medians that are kept
KEPT_MEDIANS = 30  # medians kept: a queue that lasts longer counts as usual
FULL_BUDGET_QUANTILE = 0.86  # hedged after, while the budget of extra sends is full
EMPTY_BUDGET_QUANTILE = 0.97  # hedged after, while it is nearly spent
MIN_DELAY_FACTOR = 1.3  # multiples of the median; sooner, most calls are about to end
FULL_BUDGET_CAP = 2  # multiples of the median, while the budget is full
EMPTY_BUDGET_CAP = 5  # and while it is nearly spent
GAP_SMOOTHING = 0.1  # weight of the newest gap in the moving average


@dataclass(slots=True)
class RecentLatency:
    """Quantiles over the last calls of a route, and its time without a queue."""

    _order: deque[float] = field(default_factory=deque)
    _sorted: list[float] = field(default_factory=list)
    _medians: deque[float] = field(default_factory=lambda: deque(maxlen=KEPT_MEDIANS))
    _next_median_at: Seconds = Seconds(0)

    def record(self, took: Seconds, now: Seconds) -> None:
        """Count a call that brought a whole reply."""
        median = self.estimate_quantile(MEDIAN)
        if now >= self._next_median_at and median is not None:
            self._medians.append(median)
            self._next_median_at = Seconds(now + MEDIAN_INTERVAL)
        self._order.append(took)
        insort(self._sorted, took)
        if len(self._order) > MAX_SAMPLES:
            self._sorted.remove(self._order.popleft())

    def estimate_quantile(self, quantile: float) -> Seconds | None:
        """Return a quantile, None while too few calls were seen."""
        if len(self._sorted) < MIN_SAMPLES:
            return None
        return Seconds(self._sorted[int(quantile * (len(self._sorted) - 1))])

    def estimate_baseline(self) -> Seconds | None:
        """Return the lowest median of a while, None while too few calls were seen.

        The median itself follows a queue that builds up at every upstream, and would
        hide it.
        """
        median = self.estimate_quantile(MEDIAN)
        if median is None:
            return None
        return Seconds(min(median, min(self._medians, default=median)))


@dataclass(slots=True)
class CallPace:
    """The usual time between calls.

    Attributes:
        gap: moving average of the seconds between two calls.
    """

    gap: Seconds = Seconds(0)
    _latest: Seconds | None = None

    def record(self, now: Seconds) -> None:
        """Count a call."""
        if self._latest is not None:
            elapsed = now - self._latest
            self.gap = Seconds(self.gap + GAP_SMOOTHING * (elapsed - self.gap))
        self._latest = now


def choose_hedge_delay(
    recent: RecentLatency, remaining_fraction: float
) -> Seconds | None:
    """Return the silence after which to hedge, None while too few calls were seen.

    Args:
        recent: what calls of the route took.
        fill: what is left of the budget of extra sends, as a fraction.
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
