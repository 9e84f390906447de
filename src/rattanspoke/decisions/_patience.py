"""When a search over many shards is answered.

Load pattern: in most searches some shard meets an upstream that pauses for several
times the usual latency. Waiting for it makes every answer late; not waiting at all
leaves shards out that a hedge would have brought in time.
"""

from dataclasses import dataclass
from typing import TypeAlias

from ..model import Route, Seconds, ShardSet

# From the end of a search to the caller's receipt: two crossings of the platform's
# entry at 3 ms, and merging and writing the answer.
REPLY_RESERVE = Seconds(0.01)
MAX_RESERVE_SHARE = 0.5  # of the objective that is kept when it is very short


@dataclass(frozen=True, slots=True)
class WaitForAll:
    """Answer when no shard is outstanding, at the latest at an instant."""

    until: Seconds


@dataclass(frozen=True, slots=True)
class AnswerWhenEnough:
    """Answer as soon as enough shards are in; the objective has passed."""

    until: Seconds


WaitPolicy: TypeAlias = WaitForAll | AnswerWhenEnough


def choose_answer_time(route: Route, arrived: Seconds, deadline: Seconds) -> Seconds:
    """Return when an answer with enough shards goes out although some are missing."""
    reserve = min(REPLY_RESERVE, route.objective * MAX_RESERVE_SHARE)
    return Seconds(min(arrived + route.objective - reserve, deadline))


def choose_wait_policy(
    answer_at: Seconds, deadline: Seconds, now: Seconds
) -> WaitPolicy:
    """Return how to wait from now on."""
    if now < answer_at:
        return WaitForAll(answer_at)
    return AnswerWhenEnough(deadline)


def count_required_shards(shards: ShardSet) -> int:
    """Return how many shards an answer must cover to be a success."""
    total = len(shards.shards)
    return next(
        count
        for count in range(1, total + 1)
        if count == total or count / total >= shards.least_coverage
    )
