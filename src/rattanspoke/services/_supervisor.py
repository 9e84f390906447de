"""Supervision of background work: restarts, log lines, metrics and readiness."""

import asyncio
from collections import Counter
from types import TracebackType
from typing import Self

import structlog

from ..contracts import COUNTERS, BackgroundWork, Importance, Metric
from ..decisions import RestartPolicy
from ..kernel import Kernel
from ..model import Seconds
from ._tasks import read_clock


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
