"""What an organisation weighs, tail latency or coverage, as data classes."""

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class TailFirst:
    """Hedge early and answer as soon as enough shards have replied.

    Attributes:
        hedge_quantile: quantile of a service's latency after which to hedge, while
            the budget of extra load is full.
        extra_load: hedges allowed for each sub-request sent, as a fraction.
        enough: fraction of the shards that may be answered before the deadline.
        patience: wait for the remaining shards, as a multiple of the time so far.
    """

    hedge_quantile: float = 0.975
    extra_load: float = 0.0175
    enough: float = 0.85
    patience: float = 1.5


@dataclass(frozen=True, slots=True)
class CoverageFirst:
    """Hedge too, but wait for every shard until the deadline.

    Attributes:
        hedge_quantile: quantile of a service's latency after which to hedge, while
            the budget of extra load is full.
        extra_load: hedges allowed for each sub-request sent, as a fraction.
        retries: attempts to replace a failed sub-request.
    """

    hedge_quantile: float = 0.975
    extra_load: float = 0.0175
    retries: int = 2


@dataclass(frozen=True, slots=True)
class Baseline:
    """Ask one replica for each shard, never hedge, wait for all; to compare against."""


Policy: TypeAlias = TailFirst | CoverageFirst | Baseline
