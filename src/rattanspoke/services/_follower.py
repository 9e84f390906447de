"""Following the platform's store: one task for each kind of shared state."""

import asyncio
import random
from typing import Self

import structlog

from ..contracts import COUNTERS, OBJECT_STORE, SHARED_STATE, STATE_REPLICATION, Metric
from ..decisions import WATCH_WAIT
from ..kernel import Kernel
from ..model import (
    NO_REVISION,
    PlatformError,
    PlatformHistoryGone,
    Seconds,
    StateKind,
)
from ._tasks import TaskOwner, read_clock

FIRST_BACKOFF = Seconds(0.1)
# Changes come in bursts, and each call is dear: the next watch takes several at once.
GATHER_TIME = Seconds(0.15)
REST_INTERVAL = Seconds(0.2)  # between looks at whether others still follow
# Between looks of a host that the store failed, while others follow it.
LOOK_INTERVAL = Seconds(2)
LONGEST_BACKOFF = Seconds(0.8)  # a return of the store is seen within a second


class StoreWatcher(TaskOwner):
    """Keep the shared state up to date from the store."""

    def __init__(self, kernel: Kernel, seed: int) -> None:
        super().__init__()
        self._store = kernel.find(OBJECT_STORE)
        self._state = kernel.find(SHARED_STATE)
        self._news = kernel.find(STATE_REPLICATION)
        self._counters = kernel.find(COUNTERS)
        self._random = random.Random(seed)
        self._log = structlog.get_logger()
        self._lost: dict[StateKind, float] = {}  # when the store failed last

    async def __aenter__(self) -> Self:
        for kind in StateKind:
            self._tasks.spawn(self._follow(kind))
        return self

    async def _follow(self, kind: StateKind) -> None:
        backoff = FIRST_BACKOFF
        while True:
            if self._news.can_rely_on_peers() and not self._must_look(kind):
                await asyncio.sleep(REST_INTERVAL)
                continue
            try:
                await self._read_once(kind)
            except PlatformError as error:
                self._note_failure(kind, error)
                await asyncio.sleep(backoff * self._random.uniform(0.5, 1))
                backoff = Seconds(min(LONGEST_BACKOFF, backoff * 2))
            else:
                self._note_success(kind)
                backoff = FIRST_BACKOFF

    def _must_look(self, kind: StateKind) -> bool:
        """Whether a host that lost the store is to see if it is back."""
        lost = self._lost.get(kind)
        return lost is not None and read_clock() - lost > LOOK_INTERVAL

    async def _read_once(self, kind: StateKind) -> None:
        known = self._state.revision(kind)
        if known == NO_REVISION:
            self._news.handle_listing(kind, await self._store.list_kind(kind.value))
            return
        try:
            changes = await self._store.watch_kind(kind.value, known, WATCH_WAIT)
        except PlatformHistoryGone:
            self._news.handle_listing(kind, await self._store.list_kind(kind.value))
            return
        self._news.handle_changes(kind, known, changes)
        if changes.objects:
            await asyncio.sleep(GATHER_TIME)

    def _note_failure(self, kind: StateKind, error: PlatformError) -> None:
        self._counters.add(Metric.PLATFORM_FAILURES, kind.value)
        self._news.note_store_failure(kind)
        if kind not in self._lost:
            self._log.warning('store lost', kind=kind.value, reason=str(error))
        self._lost[kind] = read_clock()

    def _note_success(self, kind: StateKind) -> None:
        if self._lost.pop(kind, None) is not None:
            self._log.info('store regained', kind=kind.value, at=read_clock())
