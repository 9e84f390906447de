"""What a search may spend beyond one sub-request for each upstream, and when."""

from collections.abc import Callable
from dataclasses import dataclass

from ..model import (
    Baseline,
    CoverageFirst,
    Policy,
    Seconds,
    TailFirst,
    UpstreamId,
)
from ._budget import RetryBudget
from ._gathering import PendingSubRequest
from ._latency import LatencyWindow, choose_hedge_quantile

PART_TIMEOUT_FRACTION = (
    0.25  # of a search's time after which a slow part counts as failed
)
TAIL_FIRST_RETRIES = 1  # attempts to replace a failed part where the tail counts most


@dataclass(frozen=True, slots=True, kw_only=True)
class ExtraSendPolicy:
    """Budgets and latencies that outlive a search, seen by one search.

    Attributes:
        policy: what the organisation weighs.
        whole: seconds that the search may take.
        window: latencies of the service's sub-requests.
        hedges: the budget of hedged shards.
        retries: the budget of retries at an upstream.
    """

    policy: Policy
    search_time: Seconds
    window: LatencyWindow
    hedges: RetryBudget
    retries: Callable[[UpstreamId], RetryBudget]

    def deposit(self, upstream: UpstreamId, shards: int) -> None:
        """Count an ordinary sub-request, which earns hedges and retries."""
        self.hedges.deposit(shards)
        self.retries(upstream).deposit()

    def find_hedge_delay(self, now: Seconds) -> Seconds | None:
        """Return the seconds after which a part is slow, None when not to hedge.

        While no latency was measured yet, that is when a part counts as failed.
        """
        match self.policy:
            case (
                TailFirst(hedge_quantile=quantile)
                | CoverageFirst(hedge_quantile=quantile)
            ):
                chosen = choose_hedge_quantile(quantile, self.hedges.remaining_fraction)
                measured = self.window.measure(chosen, now)
                return self._find_timeout() if measured is None else measured
            case Baseline():
                return None

    def withdraw_hedge(
        self, sub_request: PendingSubRequest, shards: int, now: Seconds
    ) -> bool:
        """Spend on a hedge; a part that holds up its search too long is a failed one.

        So a paused owner or a frozen upstream costs retries, not the whole deadline.
        """
        if self.hedges.withdraw(shards):
            sub_request.hedge_cost = shards
            return True
        return now - sub_request.sent >= self._find_timeout() and self.withdraw_retry(
            sub_request.upstream
        )

    def refund_unsent(self, sub_request: PendingSubRequest, unsent: int) -> None:
        """Take back what a hedge was paid for shards that no replica could take."""
        self.hedges.refund(min(sub_request.hedge_cost, unsent))

    def withdraw_retry(self, upstream: UpstreamId) -> bool:
        """Spend on a retry of what an upstream failed."""
        return self.retries(upstream).withdraw()

    def find_retry_limit(self) -> int:
        """Return how often a shard may be retried."""
        match self.policy:
            case CoverageFirst(retries=retries):
                return retries
            case TailFirst():
                return TAIL_FIRST_RETRIES
            case Baseline():
                return 0

    def _find_timeout(self) -> Seconds:
        return Seconds(self.search_time * PART_TIMEOUT_FRACTION)
