"""Decide how long a search over many shards waits for replies.

Load pattern: in most searches at least one shard is sent to an upstream that pauses
for several times the typical latency. Waiting for that shard would delay every answer.
Answering as soon as enough shards have replied would leave out shards that a hedge
could still have added in time.
"""

from dataclasses import dataclass
from typing import TypeAlias

from ..model import Route, Seconds, ShardSet

# Time from the end of a search until the caller has the answer: two passes through
# the platform's ingress of 3 ms each, and merging and writing the answer.
REPLY_RESERVE = Seconds(0.01)
# The reserve takes at most this fraction of the latency objective, so that a very short
# objective still leaves time for the search.
MAX_RESERVE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class WaitForAll:
    """Wait for every outstanding shard, but not beyond `until`."""

    until: Seconds


@dataclass(frozen=True, slots=True)
class AnswerWhenEnough:
    """Answer as soon as enough shards are covered, and wait for them until `until`."""

    until: Seconds


WaitPolicy: TypeAlias = WaitForAll | AnswerWhenEnough


def choose_answer_time(route: Route, arrived: Seconds, deadline: Seconds) -> Seconds:
    """Return the time from which a search is answered without its missing shards.

    It precedes the end of the latency objective by the time that the answer needs to
    reach the caller, and is never later than the deadline.
    """
    reserve = min(REPLY_RESERVE, route.objective * MAX_RESERVE_SHARE)
    return Seconds(min(arrived + route.objective - reserve, deadline))


def choose_wait_policy(
    answer_at: Seconds, deadline: Seconds, now: Seconds
) -> WaitPolicy:
    """Return the policy that applies now: wait for all shards, or only for enough."""
    if now < answer_at:
        return WaitForAll(answer_at)
    return AnswerWhenEnough(deadline)


def count_required_shards(shards: ShardSet) -> int:
    """Return the number of shards that an answer must cover to be a success."""
    total = len(shards.shards)
    return next(
        count
        for count in range(1, total + 1)
        if count == total or count / total >= shards.min_coverage
    )
