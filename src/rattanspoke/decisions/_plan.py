"""Choose the index version of a search and the upstream to ask for each shard."""

import math
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass

from ..model import IndexRecord, IndexVersion, ShardId, ShardMap, UpstreamId

# Factor on the load of an upstream that already has a shard of the search. It favours
# asking that upstream for more shards, because they share one call.
REUSE_LOAD_FACTOR = 0.8

UNUSABLE_LOAD = math.inf  # load of an upstream that accepts no work

EstimateLoad = Callable[[UpstreamId], float | None]


@dataclass(frozen=True, slots=True)
class Assignment:
    """The result of assigning shards to upstreams.

    Attributes:
        parts: the shards that each chosen upstream is asked for.
        unassigned: the shards for which no usable upstream is left.
    """

    parts: Mapping[UpstreamId, tuple[ShardId, ...]]
    unassigned: tuple[ShardId, ...]


def choose_version(
    index: IndexRecord,
    is_usable: Callable[[UpstreamId], bool],
    unavailable: Collection[IndexVersion] = (),
) -> ShardMap | None:
    """Return the version with the highest share of covered shards.

    A shard is covered when at least one upstream that holds it is usable. Among
    versions with equal coverage the newest wins.

    Args:
        index: the versions of the index and the upstreams that hold their shards.
        is_usable: whether an upstream accepts work.
        unavailable: versions that upstreams no longer serve.
    """
    candidates = [each for each in index.versions if each.version not in unavailable]
    if not candidates:
        return None
    return max(
        candidates,
        key=lambda each: (_measure_coverage(each, is_usable), each.version),
    )


def assign_shards(
    shard_map: ShardMap,
    shards: Iterable[ShardId],
    load: EstimateLoad,
    tried: Mapping[ShardId, Collection[UpstreamId]],
) -> Assignment:
    """Assign each shard to its least loaded replica that was not tried for it.

    Args:
        shard_map: the index version of the search.
        shards: the shards to assign.
        load: returns the expected seconds of a call to an upstream, None if the
            upstream accepts no work.
        tried: the upstreams that must not be asked again, by shard.
    """
    loads: dict[UpstreamId, float] = {}
    parts: dict[UpstreamId, list[ShardId]] = {}
    unassigned: list[ShardId] = []
    for shard in shards:
        replicas = shard_map.shards.get(shard, ())
        for upstream in replicas:
            if upstream not in loads:
                loads[upstream] = _estimate_load(load, upstream)
        untried = [each for each in replicas if each not in tried.get(shard, ())]
        best = min(untried, key=loads.__getitem__, default=None)
        if best is None or loads[best] == UNUSABLE_LOAD:
            unassigned.append(shard)
        elif best in parts:
            parts[best].append(shard)
        else:
            parts[best] = [shard]
            loads[best] *= REUSE_LOAD_FACTOR
    assigned = {upstream: tuple(given) for upstream, given in parts.items()}
    return Assignment(assigned, tuple(unassigned))


def _estimate_load(load: EstimateLoad, upstream: UpstreamId) -> float:
    expected = load(upstream)
    return UNUSABLE_LOAD if expected is None else expected


def _measure_coverage(
    shard_map: ShardMap, is_usable: Callable[[UpstreamId], bool]
) -> float:
    if not shard_map.shards:
        return 0
    upstreams = {
        upstream for replicas in shard_map.shards.values() for upstream in replicas
    }
    usable = {upstream for upstream in upstreams if is_usable(upstream)}
    covered = sum(
        not usable.isdisjoint(replicas) for replicas in shard_map.shards.values()
    )
    return covered / len(shard_map.shards)
