"""Background tasks that are cancelled when the service that owns them stops."""

import asyncio
from collections.abc import Callable, Coroutine
from types import TracebackType
from typing import Any, Self

from ..contracts import SUPERVISOR, BackgroundWork, Importance
from ..kernel import Kernel


class Tasks:
    """A set of running background tasks that can be cancelled together."""

    __slots__ = ('_running',)

    def __init__(self) -> None:
        self._running: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a coroutine as a task that runs until it ends or is cancelled.

        It is for work on behalf of one request or message, which an unexpected error
        ends. Work that must go on is supervised instead.
        """
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

    def __init__(self, kernel: Kernel) -> None:
        self._tasks = Tasks()
        self._supervisor = kernel.find(SUPERVISOR)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._tasks.cancel_all()

    def _supervise(
        self,
        name: str,
        start: Callable[[], Coroutine[Any, Any, None]],
        importance: Importance = Importance.ESSENTIAL,
    ) -> None:
        """Keep work running in the background until the service stops.

        Args:
            name: names the work in logs and metrics.
            start: returns a new coroutine of the work.
            importance: whether the host is ready while the work keeps failing.
        """
        work = BackgroundWork(name, start, importance)
        self._tasks.spawn(self._supervisor.run(work))


def read_clock() -> float:
    """Return the running loop's monotonic time in seconds."""
    return asyncio.get_running_loop().time()


def ignore_reply(reply: object) -> None:
    """Ignore the reply to a message that is repeated or repaired if it is lost."""
