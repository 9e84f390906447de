"""When a search may hedge or retry a sub-request, and how often."""

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
from ._latency import LatencyWindow, choose_hedge_quantile
from ._search_state import PendingSubRequest

# Fraction of a search's time after which an unanswered sub-request counts as failed.
PART_TIMEOUT_FRACTION = 0.25
TAIL_FIRST_RETRIES = 1  # retries of each shard under a tail-first policy


@dataclass(frozen=True, slots=True, kw_only=True)
class ExtraSendPolicy:
    """The policy, budgets and latencies that decide on a search's extra sends.

    Budgets and latencies are shared with other searches and outlive this one.

    Attributes:
        policy: whether the organisation prefers low tail latency or full coverage.
        search_time: seconds from the start of the search to its deadline.
        window: recent latencies of the service's sub-requests.
        hedges: the budget for hedges, in shards.
        retries: returns the budget for retries of what an upstream failed.
    """

    policy: Policy
    search_time: Seconds
    window: LatencyWindow
    hedges: RetryBudget
    retries: Callable[[UpstreamId], RetryBudget]

    def deposit(self, upstream: UpstreamId, shards: int) -> None:
        """Deposit into the budgets for a sub-request that is not a hedge.

        Args:
            upstream: the upstream that the sub-request goes to.
            shards: the number of shards that it asks for.
        """
        self.hedges.deposit(shards)
        self.retries(upstream).deposit()

    def find_hedge_delay(self, now: Seconds) -> Seconds | None:
        """Return the seconds after which to hedge a sub-request, None for never.

        While too few latencies have been measured, this is the time after which a
        sub-request counts as failed.
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
        """Withdraw a hedge, or a retry for a sub-request that has timed out.

        A sub-request that lasts for PART_TIMEOUT_FRACTION of the search's time counts
        as failed, so it may be replaced from the retry budget when the hedge budget is
        empty. Without this, a paused owner or a frozen upstream would hold up the
        search until its deadline.

        Args:
            sub_request: the slow sub-request.
            shards: the number of its shards that are still unanswered.
            now: the time, on the loop's clock.

        Returns:
            Whether the shards may be requested from other replicas.
        """
        if self.hedges.withdraw(shards):
            sub_request.hedge_cost = shards
            return True
        if now - sub_request.sent < self._find_timeout():
            return False
        sub_request.is_retry_paid = self.withdraw_retry(sub_request.upstream)
        return sub_request.is_retry_paid

    def refund_unsent(self, sub_request: PendingSubRequest, unsent: int) -> None:
        """Return to the hedge budget what was withdrawn for shards that were not sent.

        Args:
            sub_request: the sub-request that was hedged.
            unsent: shards for which no other replica was available.
        """
        self.hedges.refund(min(sub_request.hedge_cost, unsent))

    def refund_retry(self, sub_request: PendingSubRequest) -> None:
        """Return the retry paid for a sub-request of which no shard was sent again."""
        if sub_request.is_retry_paid:
            self.retries(sub_request.upstream).refund(1)

    def withdraw_retry(self, upstream: UpstreamId) -> bool:
        """Withdraw a retry of a sub-request that an upstream failed."""
        return self.retries(upstream).withdraw()

    def find_retry_limit(self) -> int:
        """Return how many times the policy lets each shard be retried."""
        match self.policy:
            case CoverageFirst(retries=retries):
                return retries
            case TailFirst():
                return TAIL_FIRST_RETRIES
            case Baseline():
                return 0

    def _find_timeout(self) -> Seconds:
        return Seconds(self.search_time * PART_TIMEOUT_FRACTION)
