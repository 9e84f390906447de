"""Whether the host takes work, and the drain before it stops."""

import asyncio

from ..model import Outcome, Reason, RequestError, Seconds

DRAIN_LIMIT = Seconds(30)  # after this, work that is left is given up


class HostLifecycle:
    """Count the work in the house and wait for it when the host leaves."""

    def __init__(self) -> None:
        self._leaving = False
        self._is_closed = False
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def is_leaving(self) -> bool:
        """Whether the host was told to stop."""
        return self._leaving

    @property
    def in_flight(self) -> int:
        """Pieces of work that have begun and not ended."""
        return self._count

    def close(self) -> None:
        """Take no more requests of callers; what was taken may still end."""
        self._is_closed = True

    def admit(self) -> None:
        """Raise RequestError if the host takes no more requests; nothing was run."""
        if self._is_closed:
            raise RequestError(Reason.HOST_LEAVING, Outcome.NOT_RUN)

    def begin(self) -> None:
        """Count a piece of work that must end before the host stops."""
        self._count += 1
        self._idle.clear()

    def end(self) -> None:
        """Count the end of a piece of work."""
        self._count -= 1
        if self._count == 0:
            self._idle.set()

    def leave(self) -> None:
        """Tell everyone who asks that the host is stopping."""
        self._leaving = True

    async def drain(self, limit: Seconds = DRAIN_LIMIT) -> bool:
        """Wait until all work has ended; tell whether it did within the limit."""
        try:
            async with asyncio.timeout(limit):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True
