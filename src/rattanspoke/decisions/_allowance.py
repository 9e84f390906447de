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
from ._budget import RatioBudget
from ._gathering import Part
from ._latency import LatencyWindow, choose_quantile

RESCUE_SHARE = 0.25  # of a search's time after which a slow part counts as failed
TAIL_RETRIES = 1  # attempts to replace a failed part where the tail counts most


@dataclass(frozen=True, slots=True, kw_only=True)
class Allowance:
    """Budgets and latencies that outlive a search, seen by one search.

    Attributes:
        policy: what the organisation weighs.
        whole: seconds that the search may take.
        window: latencies of the service's sub-requests.
        hedges: the budget of hedged shards.
        retries: the budget of retries at an upstream.
    """

    policy: Policy
    whole: Seconds
    window: LatencyWindow
    hedges: RatioBudget
    retries: Callable[[UpstreamId], RatioBudget]

    def earn(self, upstream: UpstreamId, shards: int) -> None:
        """Count an ordinary sub-request, which earns hedges and retries."""
        self.hedges.earn(shards)
        self.retries(upstream).earn()

    def find_threshold(self, now: Seconds) -> Seconds | None:
        """Return the seconds after which a part is slow, None when not to hedge.

        While no latency was measured yet, that is when a part counts as failed.
        """
        match self.policy:
            case (
                TailFirst(hedge_quantile=quantile)
                | CoverageFirst(hedge_quantile=quantile)
            ):
                chosen = choose_quantile(quantile, self.hedges.fill)
                measured = self.window.measure(chosen, now)
                return self._patience() if measured is None else measured
            case Baseline():
                return None

    def may_hedge(self, part: Part, shards: int, now: Seconds) -> bool:
        """Spend on a hedge; a part that holds up its search too long is a failed one.

        So a paused owner or a frozen upstream costs retries, not the whole deadline.
        """
        if self.hedges.spend(shards):
            part.paid = shards
            return True
        return now - part.sent >= self._patience() and self.may_retry(part.upstream)

    def refund_unsent(self, part: Part, unsent: int) -> None:
        """Take back what a hedge was paid for shards that no replica could take."""
        self.hedges.refund(min(part.paid, unsent))

    def may_retry(self, upstream: UpstreamId) -> bool:
        """Spend on a retry of what an upstream failed."""
        return self.retries(upstream).spend()

    def count_retries(self) -> int:
        """Return how often a shard may be retried."""
        match self.policy:
            case CoverageFirst(retries=retries):
                return retries
            case TailFirst():
                return TAIL_RETRIES
            case Baseline():
                return 0

    def _patience(self) -> Seconds:
        return Seconds(self.whole * RESCUE_SHARE)
