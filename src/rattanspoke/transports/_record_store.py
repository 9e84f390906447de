"""The records of the tier's own interface, kept as objects of the platform's store.

All kinds of record share one kind of object, so that a single watch covers them.
"""

from types import TracebackType
from typing import Self

from ..contracts import ObjectList, ObjectStore
from ..model import (
    HostId,
    ListedHost,
    PlatformHistoryGone,
    PlatformObjectMissing,
    RecordError,
    RecordKind,
    Revision,
    Seconds,
    StoredObject,
)
from ..platform import HttpStore, StateForms

RECORD_OBJECT_KIND = 'rattanspoke-records'
HOST_OBJECT_KIND = 'hosts'
_RECORD_KINDS = frozenset(kind.value for kind in RecordKind)


def locate_record(kind: str, name: str) -> tuple[str, str]:
    """Return the kind and the name of the object that holds a record."""
    if kind in _RECORD_KINDS:
        return RECORD_OBJECT_KIND, f'{kind}.{name}'
    return kind, name


class RecordStore:
    """Read, watch and write records; every method raises as the store's do."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._forms = StateForms()

    async def list_objects(self) -> ObjectList:
        """Return every record."""
        return _read_records(await self._store.list_kind(RECORD_OBJECT_KIND))

    async def watch(self, after: Revision, wait: Seconds) -> ObjectList:
        """Return the changes after a revision, waiting for the first of them."""
        try:
            changes = await self._store.watch_kind(RECORD_OBJECT_KIND, after, wait)
        except PlatformHistoryGone as error:
            raise PlatformObjectMissing(RECORD_OBJECT_KIND) from error
        return _read_records(changes)

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return one object, None when it does not exist."""
        stored = await self._store.read(*locate_record(kind, name))
        if stored is None:
            return None
        return StoredObject(
            kind=kind, name=name, revision=stored.revision, content=stored.content
        )

    async def write(
        self, kind: str, name: str, content: bytes, expected: Revision
    ) -> Revision:
        """Write an object if its revision is the expected one; zero means absent."""
        return await self._store.write(*locate_record(kind, name), content, expected)

    async def list_hosts(self) -> tuple[ListedHost, ...]:
        """Return the hosts that have an entry; one that cannot be read is left out."""
        listing = await self._store.list_kind(HOST_OBJECT_KIND)
        found: list[ListedHost] = []
        for stored in listing.objects:
            try:
                entry = self._forms.decode_host(stored)
            except RecordError:
                continue  # written by somebody else; it names no host to reach
            found.append(ListedHost(HostId(entry.host), entry.zone))
        return tuple(found)


class HttpRecordStore(RecordStore):
    """Records over a store that is reached by HTTP."""

    def __init__(self, store: HttpStore) -> None:
        super().__init__(store)
        self._client = store

    async def __aenter__(self) -> Self:
        await self._client.__aenter__()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._client.__aexit__(exc_type, exc, trace)


def _read_records(listing: ObjectList) -> ObjectList:
    return ObjectList(
        listing.revision, tuple(_read_record(each) for each in listing.objects)
    )


def _read_record(stored: StoredObject) -> StoredObject:
    kind, _, name = stored.name.partition('.')
    return StoredObject(
        kind=kind, name=name, revision=stored.revision, content=stored.content
    )
