"""The parts of one search over many shards as they come in."""

import asyncio
from dataclasses import dataclass
from typing import TypeAlias

from ..decisions import (
    AnswerWhenEnough,
    WaitForAll,
    choose_patience,
    count_needed,
    merge_records,
)
from ..model import Merged, Outcome, Seconds, ShardSet
from ._part import ServiceRequest, ServiceResult
from ._tasks import read_clock

RunningRequests: TypeAlias = dict['asyncio.Task[ServiceResult]', ServiceRequest]


def stop_unfinished(running: RunningRequests) -> None:
    """Let parts that are in flight end, and those that were not sent be dropped."""
    for task, part in running.items():
        part.stop_sending()
        if part.is_waiting:
            task.cancel()


@dataclass(slots=True)
class ShardResults:
    """The parts of one search as they come in."""

    shards: ShardSet
    answer_at: Seconds
    covered: list[ServiceResult]
    missed: list[ServiceResult]

    def __init__(self, shards: ShardSet, answer_at: Seconds) -> None:
        self.shards = shards
        self.answer_at = answer_at
        self.covered = []
        self.missed = []

    @property
    def is_enough(self) -> bool:
        """Whether an answer would be a success."""
        return len(self.covered) >= count_needed(self.shards)

    @property
    def is_unexecuted(self) -> bool:
        """Whether no upstream of any shard has run the search, or still may."""
        if self.covered or len(self.missed) < len(self.shards.shards):
            return False
        return all(each.outcome is Outcome.NOT_RUN for each in self.missed)

    async def wait(
        self, running: set['asyncio.Task[ServiceResult]'], deadline: Seconds
    ) -> None:
        """Wait for parts as long as it helps the caller."""
        outstanding = set(running)
        while outstanding and self._can_succeed(len(outstanding)):
            now = Seconds(read_clock())
            match choose_patience(self.answer_at, deadline, now):
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
                self._add_result(part.result())

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
        return len(self.covered) + outstanding >= count_needed(self.shards)

    def _add_result(self, outcome: ServiceResult) -> None:
        (self.covered if outcome.is_success else self.missed).append(outcome)
