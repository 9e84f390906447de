"""Queue of requests that wait for capacity at the upstreams of one service."""

import asyncio
from collections.abc import Callable
from typing import Any, TypeAlias

from ..model import PendingRequest, Seconds

Rank: TypeAlias = Callable[[PendingRequest], Any]  # sort key of a request, lowest first


class RequestQueue:
    """Wake pending requests one at a time, in order of rank.

    The rank is a function, evaluated at each wake-up, because a request's rank changes
    as time passes.
    """

    def __init__(self) -> None:
        self._queue: dict[asyncio.Future[None], PendingRequest] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no request is pending."""
        return not self._queue

    def list_ahead(self, pending: PendingRequest, rank: Rank) -> list[PendingRequest]:
        """Return the pending requests that rank before another one or equal to it."""
        own = rank(pending)
        return [each for each in self._queue.values() if rank(each) <= own]

    async def wait(self, pending: PendingRequest, limit: Seconds) -> bool:
        """Queue a request until it is woken, or until a limit in seconds has passed.

        Returns:
            Whether it was woken, which means that it ranked first.
        """
        woken: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._queue[woken] = pending
        try:
            async with asyncio.timeout(limit):
                await woken
        except TimeoutError:
            return False
        finally:
            del self._queue[woken]
        return True

    def wake_first(self, rank: Rank) -> None:
        """Wake the first pending request so that it looks for a free upstream."""
        candidates = [
            (rank(pending), number, woken)
            for number, (woken, pending) in enumerate(self._queue.items())
            if not woken.done()
        ]
        if candidates:
            min(candidates)[-1].set_result(None)
