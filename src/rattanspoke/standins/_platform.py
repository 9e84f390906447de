"""An in-memory fake of the platform's object store."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from ..contracts import ObjectList
from ..model import (
    HOST_KIND,
    NO_REVISION,
    HostEntry,
    HostId,
    PlatformConflict,
    PlatformHistoryGone,
    PlatformReplyLost,
    PlatformUnavailable,
    Revision,
    Seconds,
    StoredObject,
    ZoneId,
)
from ..platform import JsonStateCodec
from ..transports import locate_record

FIRST_REVISION = Revision(1)  # not zero, which means that an object is absent


@dataclass(slots=True)
class PlatformFaults:
    """The faults that the store currently shows.

    Attributes:
        is_down: whether every call fails without effect.
        delay: seconds that every call takes.
        lose_replies: number of further writes that take effect but whose reply is lost.
        watches_to_fail: number of further watches that fail as if the store no longer
            kept the changes since their revision.
        stale_reads: number of further reads and listings that return the objects from
            before their last write.
        host_entry_delay: seconds until the entry of a host appears or is removed.
    """

    is_down: bool = False
    delay: float = 0.002
    lose_replies: int = 0
    watches_to_fail: int = 0
    stale_reads: int = 0
    host_entry_delay: float = 1


@dataclass(slots=True)
class StandinPlatform:
    """An object store with one revision counter, compare-and-set writes and watches.

    Attributes:
        faults: the faults that it currently shows.
        calls: number of calls by their kind, failed ones included.
    """

    faults: PlatformFaults = field(default_factory=PlatformFaults)
    calls: Counter[str] = field(default_factory=Counter)
    _objects: dict[tuple[str, str], StoredObject] = field(default_factory=dict)
    _previous: dict[tuple[str, str], StoredObject] = field(default_factory=dict)
    _revision: Revision = FIRST_REVISION
    _history_start: Revision = NO_REVISION
    _change_event: asyncio.Event = field(default_factory=asyncio.Event)

    async def list_kind(self, kind: str, *, may_be_stale: bool = False) -> ObjectList:
        """Return every object of a kind, and the revision of the listing."""
        label = 'hosts' if kind == HOST_KIND else 'list'
        await self._start_call('stale list' if may_be_stale else label)
        if self.faults.stale_reads:
            self.faults.stale_reads -= 1
            return self._list_previous(kind)
        existing = [
            each for each in self._select_kind(kind) if each.content is not None
        ]
        return ObjectList(self._revision, tuple(existing))

    async def watch_kind(self, kind: str, after: Revision, wait: Seconds) -> ObjectList:
        """Return the changes of a kind after a revision; wait for the first of them.

        Args:
            wait: seconds after which the answer is empty if nothing has changed.

        Raises:
            PlatformHistoryGone: when the changes since that revision are not kept.
        """
        await self._start_call('watch')
        if self.faults.watches_to_fail:
            self.faults.watches_to_fail -= 1
            raise PlatformHistoryGone(kind)
        if after < self._history_start or after > self._revision:
            raise PlatformHistoryGone(kind)
        newer = self._select_changes(kind, after)
        if not newer:
            try:
                async with asyncio.timeout(wait):
                    while not newer and not self.faults.is_down:
                        await self._change_event.wait()
                        newer = self._select_changes(kind, after)
            except TimeoutError:
                newer = ()
        if self.faults.is_down:
            raise PlatformUnavailable('outage')
        return ObjectList(self._revision, newer)

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return one object, None when it does not exist."""
        await self._start_call('read')
        objects = self._objects
        if self.faults.stale_reads:
            self.faults.stale_reads -= 1
            objects = self._previous
        stored = objects.get((kind, name))
        return None if stored is None or stored.content is None else stored

    async def write(
        self, kind: str, name: str, content: bytes, expected: Revision
    ) -> Revision:
        """Write an object if its revision is the expected one (compare-and-set).

        Args:
            expected: the revision that the object must have; zero if it must not exist.
        """
        return await self._write_if_expected(kind, name, content, expected)

    async def delete(self, kind: str, name: str, expected: Revision) -> None:
        """Delete an object if its revision is the expected one."""
        await self._write_if_expected(kind, name, None, expected)

    def put(self, kind: str, name: str, content: bytes | None) -> Revision:
        """Write a record or object unconditionally and at once, without any fault."""
        return self._put(*locate_record(kind, name), content)

    def find(self, kind: str, name: str) -> StoredObject | None:
        """Return the current object of a record at once, without any fault."""
        return self._objects.get(locate_record(kind, name))

    def forget_history(self) -> None:
        """Discard all past changes, so that watches from an older revision fail."""
        self._history_start = self._revision

    def set_down(self, *, is_down: bool) -> None:
        """Start or end an outage; watches that are waiting fail at once."""
        self.faults.is_down = is_down
        self._notify_watchers()

    def register_host(self, host: HostId, zone: ZoneId) -> None:
        """Add the entry of a host after `host_entry_delay`."""
        entry = HostEntry(name=host, host=host, zone=zone)
        content = JsonStateCodec().encode_host(entry)
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.faults.host_entry_delay, self._put, HOST_KIND, host, content
        )

    def unregister_host(self, host: HostId) -> None:
        """Remove the entry of a host after `host_entry_delay`."""
        loop = asyncio.get_running_loop()
        loop.call_later(self.faults.host_entry_delay, self._put, HOST_KIND, host, None)

    async def _write_if_expected(
        self, kind: str, name: str, content: bytes | None, expected: Revision
    ) -> Revision:
        await self._start_call('write')
        current = self._objects.get((kind, name))
        is_absent = current is None or current.content is None
        revision = NO_REVISION if current is None or is_absent else current.revision
        if revision != expected:
            raise PlatformConflict(f'{kind}/{name} is at revision {revision}')
        if current is not None and current.content == content:
            return current.revision
        written = self._put(kind, name, content)
        if self.faults.lose_replies:
            self.faults.lose_replies -= 1
            raise PlatformReplyLost(f'{kind}/{name}')
        return written

    def _put(self, kind: str, name: str, content: bytes | None) -> Revision:
        current = self._objects.get((kind, name))
        if current is not None:
            self._previous[kind, name] = current
        self._revision = Revision(self._revision + 1)
        self._objects[kind, name] = StoredObject(
            kind=kind, name=name, revision=self._revision, content=content
        )
        self._notify_watchers()
        return self._revision

    def _list_previous(self, kind: str) -> ObjectList:
        """Return a stale listing: each object as it was before its last write."""
        previous = [
            self._previous.get((each.kind, each.name), each)
            for each in self._select_kind(kind)
        ]
        existing = tuple(each for each in previous if each.content is not None)
        return ObjectList(Revision(max(1, self._revision - 1)), existing)

    async def _start_call(self, call: str) -> None:
        self.calls[call] += 1
        await asyncio.sleep(self.faults.delay)
        if self.faults.is_down:
            raise PlatformUnavailable('outage')

    def _notify_watchers(self) -> None:
        self._change_event.set()
        self._change_event = asyncio.Event()

    def _select_kind(self, kind: str) -> list[StoredObject]:
        return [each for each in self._objects.values() if each.kind == kind]

    def _select_changes(self, kind: str, after: Revision) -> tuple[StoredObject, ...]:
        return tuple(each for each in self._select_kind(kind) if each.revision > after)
