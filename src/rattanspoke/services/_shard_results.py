"""Results of the shards of one search, collected as they arrive."""

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
from ._service_request import ServiceRequest, ServiceResult
from ._tasks import read_clock

RunningRequests: TypeAlias = dict['asyncio.Task[ServiceResult]', ServiceRequest]


def stop_unfinished(running: RunningRequests) -> None:
    """Let requests in flight finish, and cancel those that wait for capacity."""
    for task, service_request in running.items():
        service_request.stop_sending()
        if service_request.is_waiting:
            task.cancel()


@dataclass(slots=True)
class ShardResults:
    """The results of the shards of one search, collected as they arrive.

    Attributes:
        shards: the shards that the search is sent to.
        answer_at: when to answer with enough shards, on the loop's clock.
        covered: results of the shards that succeeded.
        missed: results of the shards that failed.
    """

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
        """Whether enough shards succeeded for a successful answer."""
        return len(self.covered) >= count_required_shards(self.shards)

    @property
    def is_unexecuted(self) -> bool:
        """Whether all shards failed and none of their upstreams ran the search."""
        if self.covered or len(self.missed) < len(self.shards.shards):
            return False
        return all(each.outcome is Outcome.NOT_RUN for each in self.missed)

    async def wait(
        self, running: set['asyncio.Task[ServiceResult]'], deadline: Seconds
    ) -> None:
        """Collect results until the answer is complete or due, or can only fail."""
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
            for task in ended:
                self._add_result(task.result())

    def merge(self) -> Merged:
        """Return the merged answer of the shards that succeeded."""
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

    def _add_result(self, result: ServiceResult) -> None:
        (self.covered if result.is_success else self.missed).append(result)
