"""The tier's own records, stored as objects in the platform's object store.

All kinds of record share one object kind, so that a single watch covers all of them.
"""

from types import TracebackType
from typing import Self

from ..contracts import ObjectList, ObjectStore
from ..model import (
    HOST_KIND,
    HostId,
    ListedHost,
    PlatformHistoryGone,
    RecordError,
    RecordHistoryGone,
    RecordKind,
    Revision,
    Seconds,
    StoredObject,
)
from ..platform import HttpStore, JsonStateCodec

RECORD_OBJECT_KIND = 'rattanspoke-records'  # objects are named "record kind.name"
_RECORD_KINDS = frozenset(kind.value for kind in RecordKind)


def locate_record(kind: str, name: str) -> tuple[str, str]:
    """Return the kind and the name of the object that stores a record.

    Any other kind, such as that of claims, is an object kind itself and stays as it is.
    """
    if kind in _RECORD_KINDS:
        return RECORD_OBJECT_KIND, f'{kind}.{name}'
    return kind, name


class RecordStore:
    """Read, watch and write records in an object store.

    Every method raises the errors of the store's method that it calls.
    """

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._forms = JsonStateCodec()

    async def list_objects(self) -> ObjectList:
        """Return every record."""
        return _read_records(await self._store.list_kind(RECORD_OBJECT_KIND))

    async def watch(self, after: Revision, wait: Seconds) -> ObjectList:
        """Return the changes after a revision; wait up to `wait` seconds for the first.

        Raises:
            RecordHistoryGone: when the store no longer keeps the changes since
                that revision, so that the records must be listed again.
        """
        try:
            changes = await self._store.watch_kind(RECORD_OBJECT_KIND, after, wait)
        except PlatformHistoryGone as error:
            raise RecordHistoryGone(RECORD_OBJECT_KIND) from error
        return _read_records(changes)

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return one record or other object, None when it does not exist."""
        stored = await self._store.read(*locate_record(kind, name))
        if stored is None:
            return None
        return StoredObject(
            kind=kind, name=name, revision=stored.revision, content=stored.content
        )

    async def write(
        self, kind: str, name: str, content: bytes, expected: Revision
    ) -> Revision:
        """Write an object if its revision is the expected one (compare-and-set).

        Args:
            expected: the revision that the object must have; zero if it must not exist.
        """
        return await self._store.write(*locate_record(kind, name), content, expected)

    async def list_hosts(self) -> tuple[ListedHost, ...]:
        """Return the hosts with a valid entry in the store; skip other entries."""
        listing = await self._store.list_kind(HOST_KIND)
        found: list[ListedHost] = []
        for stored in listing.objects:
            try:
                entry = self._forms.decode_host(stored)
            except RecordError:
                continue  # written by another program; it holds no host to connect to
            found.append(ListedHost(HostId(entry.host), entry.zone))
        return tuple(found)


class HttpRecordStore(RecordStore):
    """A record store over HTTP; its HTTP client is open while the store is entered."""

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
