"""A uvicorn server that its owner starts and stops."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from types import TracebackType
from typing import Self

import uvicorn


class EmbeddedServer(uvicorn.Server):
    """Serve from entry to exit; signals are left to the process."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._serve_task: asyncio.Task[None] | None = None

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signals to the process."""
        yield

    def stop(self) -> None:
        """Take no more connections, and close those that wait for no answer."""
        self.should_exit = True

    async def __aenter__(self) -> Self:
        self._serve_task = asyncio.create_task(self.serve())
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop()
        if self._serve_task is not None:
            await self._serve_task
