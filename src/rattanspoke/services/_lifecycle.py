"""Graceful shutdown: rejection of new requests, and the drain of work in flight."""

import asyncio

from ..model import Outcome, Reason, RequestError, Seconds

DRAIN_LIMIT = Seconds(30)  # of a drain; work still in flight then is abandoned


class HostLifecycle:
    """Count the work in flight and wait for it when the host leaves."""

    def __init__(self) -> None:
        self._leaving = False
        self._is_closed = False
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def is_leaving(self) -> bool:
        """Whether shutdown of the host has begun."""
        return self._leaving

    @property
    def in_flight(self) -> int:
        """Number of work items that have begun and not yet ended."""
        return self._count

    def close(self) -> None:
        """Reject new requests of callers; those already admitted may finish."""
        self._is_closed = True

    def admit(self) -> None:
        """Raise RequestError if the host is closed to new requests; nothing was run."""
        if self._is_closed:
            raise RequestError(Reason.HOST_LEAVING, Outcome.NOT_RUN)

    def begin(self) -> None:
        """Register a work item that must end before the host stops."""
        self._count += 1
        self._idle.clear()

    def end(self) -> None:
        """Register the end of a work item."""
        self._count -= 1
        if self._count == 0:
            self._idle.set()

    def leave(self) -> None:
        """Mark the host as leaving; is_leaving is true from now on."""
        self._leaving = True

    async def drain(self, limit: Seconds = DRAIN_LIMIT) -> bool:
        """Wait until no work is in flight; return whether that was within limit."""
        try:
            async with asyncio.timeout(limit):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True
