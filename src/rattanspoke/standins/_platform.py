"""A stand-in for the platform's store of objects."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from ..contracts import ObjectList
from ..model import (
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
from ..transports import HOSTS, locate_record

FIRST_REVISION = Revision(1)  # the counter starts above zero


@dataclass(slots=True)
class PlatformFaults:
    """What is wrong with the platform at the moment.

    Attributes:
        is_down: whether every call fails without effect.
        delay: seconds that every call takes.
        lose_replies: writes still to take effect while their reply is lost.
        lost_watches: watches still to fail as if their history was gone.
        stale_reads: reads still to be answered from before the last write.
        list_lag: seconds by which entries of hosts lag.
    """

    is_down: bool = False
    delay: float = 0.002
    lose_replies: int = 0
    lost_watches: int = 0
    stale_reads: int = 0
    list_lag: float = 1


@dataclass(slots=True)
class StandinPlatform:
    """Objects with one revision counter over all, conditional writes and watches."""

    faults: PlatformFaults = field(default_factory=PlatformFaults)
    calls: Counter[str] = field(default_factory=Counter)
    _objects: dict[tuple[str, str], StoredObject] = field(default_factory=dict)
    _before: dict[tuple[str, str], StoredObject] = field(default_factory=dict)
    _revision: Revision = FIRST_REVISION
    _kept_from: Revision = NO_REVISION
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def list_kind(self, kind: str) -> ObjectList:
        """Return every object of a kind."""
        await self._begin('hosts' if kind == HOSTS else 'list')
        if self.faults.stale_reads:
            self.faults.stale_reads -= 1
            return self._list_before(kind)
        live = [each for each in self._of_kind(kind) if each.content is not None]
        return ObjectList(self._revision, tuple(live))

    async def watch_kind(self, kind: str, after: Revision, wait: Seconds) -> ObjectList:
        """Return the changes of a kind after a revision, waiting for the first."""
        await self._begin('watch')
        if self.faults.lost_watches:
            self.faults.lost_watches -= 1
            raise PlatformHistoryGone(kind)
        if after < self._kept_from or after > self._revision:
            raise PlatformHistoryGone(kind)
        changed = self._changes(kind, after)
        if not changed:
            try:
                async with asyncio.timeout(wait):
                    while not changed and not self.faults.is_down:
                        await self._changed.wait()
                        changed = self._changes(kind, after)
            except TimeoutError:
                changed = ()
        if self.faults.is_down:
            raise PlatformUnavailable('outage')
        return ObjectList(self._revision, changed)

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return one object, None when it does not exist."""
        await self._begin('read')
        objects = self._objects
        if self.faults.stale_reads:
            self.faults.stale_reads -= 1
            objects = self._before
        stored = objects.get((kind, name))
        return None if stored is None or stored.content is None else stored

    async def write(
        self, kind: str, name: str, content: bytes, expected: Revision
    ) -> Revision:
        """Write an object if its revision is the expected one; zero means absent."""
        return await self._change(kind, name, content, expected)

    async def delete(self, kind: str, name: str, expected: Revision) -> None:
        """Delete an object if its revision is the expected one."""
        await self._change(kind, name, None, expected)

    def put(self, kind: str, name: str, content: bytes | None) -> Revision:
        """Write a record or object without any condition, as a test's set-up does."""
        return self._put(*locate_record(kind, name), content)

    def find(self, kind: str, name: str) -> StoredObject | None:
        """Return the object of a record as it is now."""
        return self._objects.get(locate_record(kind, name))

    def forget_history(self) -> None:
        """Make watches that start before the present fail."""
        self._kept_from = self._revision

    def set_down(self, *, is_down: bool) -> None:
        """Begin or end an outage; waiting watches fail at once."""
        self.faults.is_down = is_down
        self._wake()

    def announce(self, host: HostId, zone: ZoneId) -> None:
        """Enter a host after the lag."""
        entry = HostEntry(name=host, host=host, zone=zone)
        content = JsonStateCodec().encode_host(entry)
        loop = asyncio.get_running_loop()
        loop.call_later(self.faults.list_lag, self._put, HOSTS, host, content)

    def drop(self, host: HostId) -> None:
        """Remove a host's entry after the lag."""
        loop = asyncio.get_running_loop()
        loop.call_later(self.faults.list_lag, self._put, HOSTS, host, None)

    async def _change(
        self, kind: str, name: str, content: bytes | None, expected: Revision
    ) -> Revision:
        await self._begin('write')
        known = self._objects.get((kind, name))
        is_absent = known is None or known.content is None
        revision = NO_REVISION if known is None or is_absent else known.revision
        if revision != expected:
            raise PlatformConflict(f'{kind}/{name} is at revision {revision}')
        if known is not None and known.content == content:
            return known.revision
        written = self._put(kind, name, content)
        if self.faults.lose_replies:
            self.faults.lose_replies -= 1
            raise PlatformReplyLost(f'{kind}/{name}')
        return written

    def _put(self, kind: str, name: str, content: bytes | None) -> Revision:
        known = self._objects.get((kind, name))
        if known is not None:
            self._before[kind, name] = known
        self._revision = Revision(self._revision + 1)
        self._objects[kind, name] = StoredObject(
            kind=kind, name=name, revision=self._revision, content=content
        )
        self._wake()
        return self._revision

    def _list_before(self, kind: str) -> ObjectList:
        """Return a listing from before the last write of every object."""
        before = [
            self._before.get((each.kind, each.name), each)
            for each in self._of_kind(kind)
        ]
        live = tuple(each for each in before if each.content is not None)
        return ObjectList(Revision(max(1, self._revision - 1)), live)

    async def _begin(self, call: str) -> None:
        self.calls[call] += 1
        await asyncio.sleep(self.faults.delay)
        if self.faults.is_down:
            raise PlatformUnavailable('outage')

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _of_kind(self, kind: str) -> list[StoredObject]:
        return [each for each in self._objects.values() if each.kind == kind]

    def _changes(self, kind: str, after: Revision) -> tuple[StoredObject, ...]:
        return tuple(each for each in self._of_kind(kind) if each.revision > after)
