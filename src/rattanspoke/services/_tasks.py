"""Background tasks of services, and the supervisor that keeps them running."""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from types import TracebackType
from typing import Any, Self

import structlog

from ..contracts import COUNTERS, SUPERVISOR, BackgroundWork, Importance, Metric
from ..decisions import RestartPolicy
from ..kernel import Kernel
from ..model import Seconds


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


class _ErrorTrap:
    """Keeps the unexpected error that ends a run; a cancellation passes through.

    Attributes:
        error: the error, None if the run came to its normal end.
    """

    def __init__(self) -> None:
        self.error: Exception | None = None

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> bool:
        if isinstance(exc, Exception):
            self.error = exc
            return True
        return False


class HostSupervisor:
    """Start background work again after unexpected errors, and report each of them.

    A host with essential work that keeps failing is not ready, but goes on: an error
    that comes from shared state strikes all hosts at once, and hosts that ended
    themselves would leave nobody to serve callers.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._counters = kernel.find(COUNTERS)
        self._failures: Counter[str] = Counter()
        self._running: dict[RestartPolicy, BackgroundWork] = {}
        self._log = structlog.get_logger()

    @property
    def is_impaired(self) -> bool:
        """Whether essential work keeps failing."""
        now = Seconds(read_clock())
        return any(
            work.importance is Importance.ESSENTIAL and policy.is_failing(now)
            for policy, work in self._running.items()
        )

    def running(self) -> tuple[BackgroundWork, ...]:
        """Return the work that has not come to its normal end."""
        return tuple(self._running.values())

    def failures(self, name: str) -> int:
        """Return how often work of a name has failed since the start of the host."""
        return self._failures[name]

    async def run(self, work: BackgroundWork) -> None:
        """Run work until its normal end, and start it again after each failure."""
        policy = RestartPolicy()
        self._running[policy] = work
        try:
            while not await self._run_once(work, policy):
                await asyncio.sleep(policy.delay)
        finally:
            del self._running[policy]

    async def _run_once(self, work: BackgroundWork, policy: RestartPolicy) -> bool:
        """Run work; return whether it came to its normal end."""
        started = Seconds(read_clock())
        with _ErrorTrap() as trap:
            await work.start()
        if trap.error is None:
            return True
        policy.note_failure(started, Seconds(read_clock()))
        self._report(work, policy, trap.error)
        return False

    def _report(
        self, work: BackgroundWork, policy: RestartPolicy, error: Exception
    ) -> None:
        self._failures[work.name] += 1
        self._counters.add(Metric.TASK_FAILURES, work.name)
        self._log.error(
            'background task failed',
            task=work.name,
            importance=work.importance.value,
            error=repr(error),
            failures=self._failures[work.name],
            restart_in_ms=round(policy.delay * 1000),
        )
        # The loop's handler writes the traceback.
        asyncio.get_running_loop().call_exception_handler(
            {'message': f'background task {work.name!r} failed', 'exception': error}
        )


def read_clock() -> float:
    """Return the running loop's monotonic time in seconds."""
    return asyncio.get_running_loop().time()


def ignore_reply(reply: object) -> None:
    """Ignore the reply to a message that is repeated or repaired if it is lost."""
