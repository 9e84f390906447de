"""The parts of one search over many shards as they come in."""

import asyncio
from dataclasses import dataclass
from typing import TypeAlias

from ..decisions import (
    AnswerWhenEnough,
    WaitForAll,
    choose_wait_policy,
    count_required_shards,
    merge_records,
)
from ..model import Merged, Outcome, Seconds, ShardSet
from ._part import Part, PartResult
from ._tasks import read_clock

Running: TypeAlias = dict['asyncio.Task[PartResult]', Part]


def release_parts(running: Running) -> None:
    """Let parts that are in flight end, and those that were not sent be dropped."""
    for task, part in running.items():
        part.release()
        if part.is_waiting:
            task.cancel()


@dataclass(slots=True)
class Gathering:
    """The parts of one search as they come in."""

    shards: ShardSet
    answer_at: Seconds
    covered: list[PartResult]
    missed: list[PartResult]

    def __init__(self, shards: ShardSet, answer_at: Seconds) -> None:
        self.shards = shards
        self.answer_at = answer_at
        self.covered = []
        self.missed = []

    @property
    def is_enough(self) -> bool:
        """Whether an answer would be a success."""
        return len(self.covered) >= count_required_shards(self.shards)

    @property
    def is_unrun(self) -> bool:
        """Whether no upstream of any shard has run the search, or still may."""
        if self.covered or len(self.missed) < len(self.shards.shards):
            return False
        return all(each.outcome is Outcome.NOT_RUN for each in self.missed)

    async def wait(
        self, running: set['asyncio.Task[PartResult]'], deadline: Seconds
    ) -> None:
        """Wait for parts as long as it helps the caller."""
        outstanding = set(running)
        while outstanding and self._can_succeed(len(outstanding)):
            now = Seconds(read_clock())
            match choose_wait_policy(self.answer_at, deadline, now):
                case WaitForAll(until):
                    left = until - now
                case AnswerWhenEnough(until):
                    left = until - now
                    if self.is_enough or left <= 0:
                        return
            ended, outstanding = await asyncio.wait(
                outstanding, timeout=left, return_when=asyncio.FIRST_COMPLETED
            )
            for part in ended:
                self._take(part.result())

    def merge(self) -> Merged:
        """Return the answer over the parts that are in."""
        replies = [each.reply for each in self.covered if each.reply is not None]
        return Merged(
            seals=tuple(reply.seal for reply in replies if reply.seal is not None),
            missing=len(self.shards.shards) - len(replies),
            body=merge_records(
                (reply.body for reply in replies), self.shards.record_limit
            ),
        )

    def _can_succeed(self, outstanding: int) -> bool:
        return len(self.covered) + outstanding >= count_required_shards(self.shards)

    def _take(self, outcome: PartResult) -> None:
        (self.covered if outcome.is_success else self.missed).append(outcome)
