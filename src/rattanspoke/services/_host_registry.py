"""The entries of hosts in the store, from which a host that starts finds the others."""

import asyncio
from typing import NoReturn, Self

import structlog

from ..contracts import FLEET, OBJECT_STORE, RULES, STATE_CODEC, Importance
from ..kernel import Kernel
from ..model import (
    HOST_KIND,
    NO_REVISION,
    HostEntry,
    HostId,
    PlatformConflict,
    PlatformError,
    RecordError,
    Seconds,
    StoredObject,
    ZoneId,
)
from ._tasks import TaskOwner

RETRY_DELAY = Seconds(0.5)  # between attempts while the store fails
SEED_DELAY = Seconds(1)  # in which all hosts that start together have contacted a seed
# A listing of the store may be some seconds old. After this time it has the entries of
# all hosts that started together.
SECOND_LISTING_DELAY = Seconds(4)
RECONCILE_INTERVAL = Seconds(8)  # between checks of the entries in the store


class HostRegistry(TaskOwner):
    """Write this host's entry, read those of the others, and keep all of them correct.

    The entry of a host is written once, at its start. Later only the hosts that watch
    the store look at the entries.
    """

    def __init__(self, kernel: Kernel, entry: HostEntry) -> None:
        super().__init__(kernel)
        self._fleet = kernel.find(FLEET)
        self._rules = kernel.find(RULES)
        self._store = kernel.find(OBJECT_STORE)
        self._codec = kernel.find(STATE_CODEC)
        self._entry = entry
        self._log = structlog.get_logger()

    async def __aenter__(self) -> Self:
        self._supervise('registration', self._register)
        self._supervise('search for hosts', self._find_hosts)
        self._supervise('host entries', self._reconcile, Importance.AUXILIARY)
        return self

    async def _find_hosts(self) -> None:
        """Find the other hosts, from the store or, while it does not answer, a seed.

        When the whole system starts, entries read from the store would lack the hosts
        that register at the same moment. All of them contact the seeds, though.
        """
        if not self._rules.current.is_first_start:
            await self._find_registered_hosts()
            return
        await asyncio.sleep(SEED_DELAY)
        if not await self._fleet.ask_for_hosts():
            await self._find_registered_hosts()
        await asyncio.sleep(SECOND_LISTING_DELAY)
        await self._find_registered_hosts()

    async def _find_registered_hosts(self) -> None:
        while not await self._read_entries():
            if await self._fleet.ask_for_hosts():
                return
            await asyncio.sleep(RETRY_DELAY)

    async def _read_entries(self) -> bool:
        try:
            entries = await self._list_entries()
        except PlatformError as error:
            self._log.warning('hosts not listed', reason=str(error))
            return False
        self._fleet.add_hosts({host: zone for host, (zone, _) in entries.items()})
        return True

    async def _register(self) -> None:
        """Write this host's entry in the store, unless it is there already."""
        while True:
            try:
                await self._write_entry()
            except PlatformError as error:
                self._log.warning('host not registered', reason=str(error))
                await asyncio.sleep(RETRY_DELAY)
                continue
            return

    async def _write_entry(self) -> None:
        content = self._codec.encode_host(self._entry)
        name = self._entry.name
        try:
            await self._store.write(HOST_KIND, name, content, NO_REVISION)
        except PlatformConflict:
            stored = await self._store.read(HOST_KIND, name)
            if stored is not None and stored.content != content:
                await self._store.write(HOST_KIND, name, content, stored.revision)

    async def _reconcile(self) -> NoReturn:
        """Correct the store's entries of hosts while this host watches the store.

        An entry of a host that nobody knows is deleted, and a known host without one
        gets one: it may have been deleted while a cut link made the host seem gone.
        What looks wrong once may be a host that has just started, so it must look wrong
        twice in a row.
        """
        suspects: set[HostId] = set()
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL)
            if not self._fleet.is_watcher:
                suspects.clear()
                continue
            try:
                suspects = await self._correct_entries(suspects)
            except PlatformError as error:
                self._log.warning('host entries not corrected', reason=str(error))

    async def _correct_entries(self, suspects: set[HostId]) -> set[HostId]:
        """Correct the entries of suspect hosts; return the suspects for next time.

        A host that is registered but not known is contacted first.
        """
        entries = await self._list_entries()
        known = self._fleet.known_hosts()
        unknown = entries.keys() - known.keys()
        missing = known.keys() - entries.keys()
        for host in unknown:
            self._fleet.contact(host)
        for host in unknown & suspects:
            _, stored = entries[host]
            await self._store.delete(HOST_KIND, stored.name, stored.revision)
        for host in missing & suspects:
            entry = HostEntry(name=host, host=host, zone=known[host])
            content = self._codec.encode_host(entry)
            await self._store.write(HOST_KIND, entry.name, content, NO_REVISION)
        return unknown | missing

    async def _list_entries(self) -> dict[HostId, tuple[ZoneId, StoredObject]]:
        """Return the zone and the stored entry of each host.

        The entries may be some seconds old.
        """
        listing = await self._store.list_kind(HOST_KIND, may_be_stale=True)
        entries: dict[HostId, tuple[ZoneId, StoredObject]] = {}
        for stored in listing.objects:
            entry = self._decode_entry(stored)
            if entry is not None:
                entries[entry.host] = entry.zone, stored
        return entries

    def _decode_entry(self, stored: StoredObject) -> HostEntry | None:
        try:
            return self._codec.decode_host(stored)
        except RecordError as error:
            self._log.warning(
                'host entry not readable', name=stored.name, reason=str(error)
            )
            return None
