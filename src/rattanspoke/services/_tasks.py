"""Background tasks that are cancelled when the service that owns them stops."""

import asyncio
from collections.abc import Coroutine
from types import TracebackType
from typing import Any, Self


class Tasks:
    """A set of running background tasks that can be cancelled together."""

    __slots__ = ('_running',)

    def __init__(self) -> None:
        self._running: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a coroutine as a task that runs until it ends or is cancelled."""
        task = asyncio.get_running_loop().create_task(work)
        self._running.add(task)
        task.add_done_callback(self._finish)
        return task

    async def cancel_all(self) -> None:
        """Cancel every task but the current one and wait until each has ended."""
        running = [task for task in self._running if task is not asyncio.current_task()]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def _finish(self, task: asyncio.Task[Any]) -> None:
        self._running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            asyncio.get_running_loop().call_exception_handler(
                {'message': 'a background task failed', 'exception': task.exception()}
            )


class TaskOwner:
    """Base class of services whose background tasks are cancelled on exit."""

    def __init__(self) -> None:
        self._tasks = Tasks()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._tasks.cancel_all()


def read_clock() -> float:
    """Return the running loop's monotonic time in seconds."""
    return asyncio.get_running_loop().time()


def ignore_reply(reply: object) -> None:
    """Ignore the reply to a message that is repeated or repaired if it is lost."""
