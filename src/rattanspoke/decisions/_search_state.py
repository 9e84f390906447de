"""The state of one search that fans out: sub-requests, merged hits and coverage.

A search is pinned to one version of the index and its shard map. A reply is merged only
if it carries the pinned version and answers an outstanding sub-request of this search.
Coverage is counted in shards of the pinned map.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..model import (
    Baseline,
    CoverageFirst,
    DocumentId,
    Hit,
    Outcome,
    Policy,
    Reason,
    Seconds,
    ShardId,
    ShardMap,
    SubReply,
    TailFirst,
    UpstreamId,
)

IMMEDIATELY = Seconds(0)


@dataclass(slots=True)
class PendingSubRequest:
    """One sub-request of a search.

    Attributes:
        sent: the time at which it was sent.
        hedged: whether its shards were also requested from other replicas.
        is_hedge: whether it was itself sent as a hedge.
        hedge_after: the time before which it must not be hedged.
        hedge_cost: shards that were withdrawn from the hedge budget for its hedge.
        is_retry_paid: whether its hedge was paid from the retry budget instead.
    """

    attempt: int
    upstream: UpstreamId
    shards: tuple[ShardId, ...]
    sent: Seconds
    hedged: bool = False
    is_hedge: bool = False
    hedge_after: Seconds = IMMEDIATELY
    hedge_cost: int = 0
    is_retry_paid: bool = False


@dataclass(slots=True)
class SearchState:
    """The state of one search over one pinned version of the index.

    Attributes:
        shard_map: the pinned version and the replicas of its shards.
        policy: the organisation's preference between tail latency and coverage.
        started: the time at which the search began.
        deadline: the time at which to answer, with a partial result if need be.
        last_attempt: the number of the last attempt so far. A search that starts over
            on another version continues the numbering, so that a late reply to an
            earlier version's attempt cannot match a new one.
        outstanding: unanswered sub-requests by attempt number.
        covered: shards that were answered.
        reasons: why a shard was last not answered.
        deferred: shards without an available replica, to be tried again later.
        tried: the upstreams that each shard was requested from.
        hits: hits of the covered shards, by document.
    """

    shard_map: ShardMap
    policy: Policy
    started: Seconds
    deadline: Seconds
    last_attempt: int = 0
    outstanding: dict[int, PendingSubRequest] = field(default_factory=dict)
    covered: set[ShardId] = field(default_factory=set)
    reasons: dict[ShardId, Reason] = field(default_factory=dict)
    deferred: set[ShardId] = field(default_factory=set)
    tried: dict[ShardId, set[UpstreamId]] = field(default_factory=dict)
    hits: dict[DocumentId, Hit] = field(default_factory=dict)
    _enough_at: Seconds | None = None

    def open_sub_request(
        self,
        upstream: UpstreamId,
        shards: tuple[ShardId, ...],
        now: Seconds,
        *,
        is_hedge: bool = False,
    ) -> PendingSubRequest:
        """Add a sub-request that is about to be sent to the outstanding ones."""
        self.last_attempt += 1
        sub_request = PendingSubRequest(
            self.last_attempt, upstream, shards, now, is_hedge=is_hedge
        )
        self.outstanding[sub_request.attempt] = sub_request
        for shard in shards:
            self.tried.setdefault(shard, set()).add(upstream)
        return sub_request

    def note_unavailable(self, shards: Iterable[ShardId], reason: Reason) -> None:
        """Record why no replica of some shards is available.

        A reason that was recorded before is kept.
        """
        for shard in shards:
            self.reasons.setdefault(shard, reason)

    def accept(self, reply: SubReply, now: Seconds) -> PendingSubRequest | None:
        """Merge a reply into the result.

        Returns:
            The sub-request that the reply answers, None if that is not outstanding.
        """
        sub_request = self.outstanding.pop(reply.attempt, None)
        if sub_request is None:
            return None
        if reply.outcome is not Outcome.RAN:
            self._note_missing(sub_request.shards, reply.reason)
        elif reply.version != self.shard_map.version:
            self._note_missing(sub_request.shards, Reason.WRONG_VERSION)
        else:
            self._merge(sub_request, reply, now)
        return sub_request

    def find_unanswered(self, sub_request: PendingSubRequest) -> tuple[ShardId, ...]:
        """Return a sub-request's shards that are neither covered nor outstanding."""
        asked = {shard for each in self.outstanding.values() for shard in each.shards}
        return tuple(
            shard
            for shard in sub_request.shards
            if shard not in self.covered and shard not in asked
        )

    def find_slow(self, threshold: Seconds, now: Seconds) -> list[PendingSubRequest]:
        """Return the outstanding sub-requests that are due for a hedge.

        Args:
            threshold: seconds after which a sub-request is slow.
            now: the time, on the loop's clock.
        """
        return [
            sub_request
            for sub_request in self.outstanding.values()
            if not sub_request.hedged
            and not sub_request.is_hedge
            and now >= max(sub_request.sent + threshold, sub_request.hedge_after)
        ]

    def is_over(self, now: Seconds) -> bool:
        """Return whether to answer the search now."""
        is_idle = not self.outstanding and not self.deferred
        return is_idle or self.is_covered() or now >= self.ends_at()

    def is_covered(self) -> bool:
        """Return whether every shard of the pinned map was answered."""
        return len(self.covered) == len(self.shard_map.shards)

    def ends_at(self) -> Seconds:
        """Return the time at which to answer even if shards are missing.

        Under a tail-first policy, once enough shards are covered, the search waits for
        the others for a multiple of the time that it has taken so far.
        """
        match self.policy:
            case TailFirst(patience=patience) if self._enough_at is not None:
                elapsed = self._enough_at - self.started
                return Seconds(min(self.deadline, self._enough_at + elapsed * patience))
            case TailFirst() | CoverageFirst() | Baseline():
                return self.deadline

    def has_lost_version(self) -> bool:
        """Return whether an upstream no longer had the version for an uncovered shard.

        The search may then start over on another version.
        """
        return any(
            reason is Reason.VERSION_GONE and shard not in self.covered
            for shard, reason in self.reasons.items()
        )

    def explain_missing(self) -> dict[ShardId, Reason]:
        """Return the reason for each shard of the pinned map that is not covered."""
        return {
            shard: self.reasons.get(shard, Reason.DEADLINE)
            for shard in self.shard_map.shards
            if shard not in self.covered
        }

    def rank_hits(self, limit: int) -> tuple[Hit, ...]:
        """Return the hits with the highest scores, each document once.

        Args:
            limit: the largest number of hits.
        """
        ranked = sorted(self.hits.values(), key=lambda hit: (-hit.score, hit.document))
        return tuple(ranked[:limit])

    def _merge(
        self, sub_request: PendingSubRequest, reply: SubReply, now: Seconds
    ) -> None:
        answered = set(reply.shards) & set(sub_request.shards)
        if answered != set(reply.shards):
            self._note_missing(sub_request.shards, Reason.WRONG_VERSION)
            return
        self.covered |= answered
        for hit in reply.hits:
            self.hits[hit.document] = hit
        self._note_missing(set(sub_request.shards) - answered, Reason.SHARD_NOT_HELD)
        self._note_enough(now)

    def _note_missing(self, shards: Iterable[ShardId], reason: Reason) -> None:
        for shard in shards:
            self.reasons[shard] = reason

    def _note_enough(self, now: Seconds) -> None:
        match self.policy:
            case TailFirst(enough=enough) if self._enough_at is None:
                if len(self.covered) >= enough * len(self.shard_map.shards):
                    self._enough_at = now
            case _:
                return
