"""Requests that wait for room at the upstreams of one service."""

import asyncio
from collections.abc import Callable
from typing import Any, TypeAlias

from ..model import PendingRequest, Seconds

Rank: TypeAlias = Callable[
    [PendingRequest], Any
]  # what orders waiters, the lowest first


class WaitingRoom:
    """Wake one waiter at a time, in the order of a rank that changes as time passes."""

    def __init__(self) -> None:
        self._waiting: dict[asyncio.Future[None], PendingRequest] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nobody waits."""
        return not self._waiting

    def list_before(self, pending: PendingRequest, rank: Rank) -> list[PendingRequest]:
        """Return those that go before another, or at the same time."""
        own = rank(pending)
        return [each for each in self._waiting.values() if rank(each) <= own]

    async def wait(self, pending: PendingRequest, limit: Seconds) -> None:
        """Wait until woken, but no longer than some seconds."""
        woken: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[woken] = pending
        try:
            async with asyncio.timeout(limit):
                await woken
        except TimeoutError:
            return
        finally:
            del self._waiting[woken]

    def wake_first(self, rank: Rank) -> None:
        """Let the first of those that wait look for room."""
        waiting = [
            (rank(pending), number, woken)
            for number, (woken, pending) in enumerate(self._waiting.items())
            if not woken.done()
        ]
        if waiting:
            min(waiting)[-1].set_result(None)
