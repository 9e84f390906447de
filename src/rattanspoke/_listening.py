"""A uvicorn server that is started and stopped by the code that creates it."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from types import TracebackType
from typing import Self

import uvicorn


class EmbeddedServer(uvicorn.Server):
    """A server that runs from entry to exit of its context.

    It installs no signal handlers, because the process handles signals for all of its
    listeners.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._serve_task: asyncio.Task[None] | None = None

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Override uvicorn's signal handling with nothing."""
        yield

    def stop(self) -> None:
        """Stop accepting connections and close those without a request in flight."""
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
