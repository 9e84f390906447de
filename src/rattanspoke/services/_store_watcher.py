"""Watching the platform's store, with one task for each kind of shared state."""

import asyncio
import random
from functools import partial
from typing import NoReturn, Self

import structlog

from ..contracts import (
    COUNTERS,
    IDENTITY,
    OBJECT_STORE,
    RULES,
    SHARED_STATE,
    STATE_REPLICATION,
    Metric,
)
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

INITIAL_BACKOFF = Seconds(0.1)
# Delay before the next long poll after one that returned changes. Changes come in
# bursts and calls to the store are expensive, so that the next call returns several.
BATCH_DELAY = Seconds(0.15)
# Between checks, on a host that does not watch the store, of whether other hosts do.
PEER_CHECK_INTERVAL = Seconds(0.2)
# Between probes of a host whose calls to the store failed, while other hosts watch it.
PROBE_INTERVAL = Seconds(2)
# Upper limit of the backoff, so that a host detects within 1 s that the store is back.
MAX_BACKOFF = Seconds(0.8)
# Time for which a host that starts waits for the state from its peers: at the first
# start of the whole system, when no caller waits yet, and at any other.
FIRST_START_DELAY = Seconds(2)
RESTART_DELAY = Seconds(0.03)


class StoreWatcher(TaskOwner):
    """Update the shared state from the store, unless other hosts watch it already.

    A host lists each kind once and then keeps a long poll open for its changes. It does
    so only if it is one of the chosen watchers or receives no state updates from them.
    """

    def __init__(self, kernel: Kernel, seed: int) -> None:
        super().__init__(kernel)
        self._store = kernel.find(OBJECT_STORE)
        self._state = kernel.find(SHARED_STATE)
        self._host = kernel.find(IDENTITY).host
        self._rules = kernel.find(RULES)
        self._replication = kernel.find(STATE_REPLICATION)
        self._counters = kernel.find(COUNTERS)
        self._random = random.Random(seed)
        self._log = structlog.get_logger()
        # Time of the last failed call for each kind whose last call failed.
        self._failed_at: dict[StateKind, float] = {}

    async def __aenter__(self) -> Self:
        for kind in StateKind:
            self._supervise(f'watch of {kind.value}', partial(self._watch_kind, kind))
        return self

    async def _watch_kind(self, kind: StateKind) -> NoReturn:
        backoff = INITIAL_BACKOFF
        await self._state.await_complete(self._choose_start_delay())
        while True:
            if self._replication.can_rely_on_peers() and not self._should_probe(kind):
                await asyncio.sleep(PEER_CHECK_INTERVAL)
                continue
            try:
                await self._read_once(kind)
            except PlatformError as error:
                self._note_failure(kind, error)
                await asyncio.sleep(backoff * self._random.uniform(0.5, 1))
                backoff = Seconds(min(MAX_BACKOFF, backoff * 2))
            else:
                self._note_success(kind)
                backoff = INITIAL_BACKOFF

    def _choose_start_delay(self) -> Seconds:
        """Return the seconds for which peers may provide the state before the store.

        Listing the state takes several calls for each host. The seeds list it at once,
        and the others get it from them.
        """
        rules = self._rules.current
        if self._host in rules.seeds or not rules.seeds:
            return Seconds(0)
        return FIRST_START_DELAY if rules.is_first_start else RESTART_DELAY

    def _should_probe(self, kind: StateKind) -> bool:
        """Whether it is time to check if the store answers this host again."""
        failed_at = self._failed_at.get(kind)
        return failed_at is not None and read_clock() - failed_at > PROBE_INTERVAL

    async def _read_once(self, kind: StateKind) -> None:
        revision = self._state.revision(kind)
        if revision == NO_REVISION:
            self._replication.handle_listing(
                kind, await self._store.list_kind(kind.value)
            )
            return
        try:
            changes = await self._store.watch_kind(kind.value, revision, WATCH_WAIT)
        except PlatformHistoryGone:
            self._replication.handle_listing(
                kind, await self._store.list_kind(kind.value)
            )
            return
        self._replication.handle_changes(kind, revision, changes)
        if changes.objects:
            await asyncio.sleep(BATCH_DELAY)

    def _note_failure(self, kind: StateKind, error: PlatformError) -> None:
        self._counters.add(Metric.PLATFORM_FAILURES, kind.value)
        self._replication.note_store_failure(kind)
        if kind not in self._failed_at:
            self._log.warning('store lost', kind=kind.value, reason=str(error))
        self._failed_at[kind] = read_clock()

    def _note_success(self, kind: StateKind) -> None:
        if self._failed_at.pop(kind, None) is not None:
            self._log.info('store regained', kind=kind.value, at=read_clock())
