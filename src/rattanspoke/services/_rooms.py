"""Requests that wait for room at the upstreams of one service."""

import asyncio
from collections.abc import Callable
from typing import Any, TypeAlias

from ..model import Seconds, Waiter

Rank: TypeAlias = Callable[[Waiter], Any]  # what orders waiters, the lowest first


class RequestQueue:
    """Wake one waiter at a time, in the order of a rank that changes as time passes."""

    def __init__(self) -> None:
        self._queue: dict[asyncio.Future[None], Waiter] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nobody waits."""
        return not self._queue

    def list_ahead(self, waiter: Waiter, rank: Rank) -> list[Waiter]:
        """Return those that go before another, or at the same time."""
        own = rank(waiter)
        return [each for each in self._queue.values() if rank(each) <= own]

    async def wait(self, waiter: Waiter, limit: Seconds) -> None:
        """Wait until woken, but no longer than some seconds."""
        woken: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._queue[woken] = waiter
        try:
            async with asyncio.timeout(limit):
                await woken
        except TimeoutError:
            return
        finally:
            del self._queue[woken]

    def wake_first(self, rank: Rank) -> None:
        """Let the first of those that wait look for room."""
        candidates = [
            (rank(waiter), number, woken)
            for number, (woken, waiter) in enumerate(self._queue.items())
            if not woken.done()
        ]
        if candidates:
            min(candidates)[-1].set_result(None)
