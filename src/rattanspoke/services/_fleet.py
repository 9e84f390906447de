"""The hosts of the tier: this one's entry in the store, and the others'."""

import asyncio
from typing import Self

import structlog

from ..contracts import OBJECT_STORE, STATE_CODEC
from ..kernel import Kernel
from ..model import (
    NO_REVISION,
    HostEntry,
    PlatformConflict,
    PlatformError,
    RecordError,
    Seconds,
)
from ._tasks import TaskOwner

HOST_KIND = 'hosts'
RETRY_DELAY = Seconds(0.5)  # between attempts to register while the store fails
LIST_INTERVAL = Seconds(5)


class HostFleet(TaskOwner):
    """Register this host, and count those that may be sending work."""

    def __init__(self, kernel: Kernel, entry: HostEntry) -> None:
        super().__init__()
        self._store = kernel.find(OBJECT_STORE)
        self._codec = kernel.find(STATE_CODEC)
        self._entry = entry
        self._entries: dict[str, HostEntry] = {entry.name: entry}
        self._log = structlog.get_logger()

    @property
    def live_count(self) -> int:
        """Hosts that may be sending work to upstreams, this one included."""
        return len(self._entries)

    async def __aenter__(self) -> Self:
        self._tasks.spawn(self._run())
        return self

    async def _run(self) -> None:
        is_registered = False
        while True:
            try:
                if not is_registered:
                    await self._register()
                    is_registered = True
                await self._list()
            except PlatformError as error:
                self._log.warning('hosts not listed', reason=str(error))
                await asyncio.sleep(RETRY_DELAY)
            else:
                await asyncio.sleep(LIST_INTERVAL)

    async def _register(self) -> None:
        content = self._codec.encode_host(self._entry)
        try:
            await self._store.write(HOST_KIND, self._entry.name, content, NO_REVISION)
        except PlatformConflict:
            stored = await self._store.read(HOST_KIND, self._entry.name)
            if stored is not None and stored.content != content:
                await self._store.write(
                    HOST_KIND, self._entry.name, content, stored.revision
                )

    async def _list(self) -> None:
        listing = await self._store.list_kind(HOST_KIND)
        entries = {self._entry.name: self._entry}
        for stored in listing.objects:
            try:
                entry = self._codec.decode_host(stored)
            except RecordError as error:
                self._log.warning('host entry not readable', reason=str(error))
                continue
            entries[entry.name] = entry
        self._entries = entries
