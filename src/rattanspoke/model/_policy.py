"""Policies by which an organisation chooses between tail latency and coverage."""

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class TailFirst:
    """Hedge early and answer as soon as enough shards have replied.

    Attributes:
        hedge_quantile: quantile of a service's latency after which to hedge, while
            the hedge budget is full; it rises as the budget is used up.
        extra_load: shards that may be hedged, as a fraction of the shards requested.
        enough: fraction of the shards that is enough for an answer before the deadline.
        patience: how long to wait then for the remaining shards, as a multiple of the
            time that the search has taken until then.
    """

    hedge_quantile: float = 0.975
    extra_load: float = 0.0175
    enough: float = 0.85
    patience: float = 1.5


@dataclass(frozen=True, slots=True)
class CoverageFirst:
    """Hedge early, but wait for every shard until the deadline.

    Attributes:
        hedge_quantile: quantile of a service's latency after which to hedge, while
            the hedge budget is full; it rises as the budget is used up.
        extra_load: shards that may be hedged, as a fraction of the shards requested.
        retries: how many times each shard may be retried after a failure.
    """

    hedge_quantile: float = 0.975
    extra_load: float = 0.0175
    retries: int = 2


@dataclass(frozen=True, slots=True)
class Baseline:
    """Ask one replica of each shard, never hedge and wait for all; for comparison."""


Policy: TypeAlias = TailFirst | CoverageFirst | Baseline
