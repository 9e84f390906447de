"""Shared fixtures: an event loop on virtual time."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import looptime
import pytest

TIME_LIMIT = 3600  # seconds of virtual time in one test

Run = Callable[[Coroutine[Any, Any, Any]], Any]


@pytest.fixture
def run() -> Iterator[Run]:
    """Return a function that runs coroutines on virtual time.

    Time jumps to the next timer. An exception that reaches the loop's handler, such
    as that of a background task, fails the test.
    """
    loop = looptime.new_event_loop(start=1000, end=1000 + TIME_LIMIT, noop_cycles=1)
    failures: list[dict[str, Any]] = []
    loop.set_exception_handler(lambda _, context: failures.append(context))
    asyncio.set_event_loop(loop)

    def run_coroutine(coroutine: Coroutine[Any, Any, Any]) -> Any:
        return loop.run_until_complete(coroutine)

    yield run_coroutine
    leftovers = asyncio.all_tasks(loop)
    for task in leftovers:
        task.cancel()
    loop.run_until_complete(asyncio.gather(*leftovers, return_exceptions=True))
    loop.close()
    asyncio.set_event_loop(None)
    assert not failures, failures
