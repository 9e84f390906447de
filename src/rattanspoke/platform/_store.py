"""The platform's store over HTTP."""

from types import TracebackType
from typing import Any, Self, TypeVar
from urllib.parse import quote

import aiohttp
import msgspec

from ..contracts import Counters, Metric, ObjectList
from ..model import (
    NO_REVISION,
    PlatformConflict,
    PlatformHistoryGone,
    PlatformReplyLost,
    PlatformUnavailable,
    Revision,
    Seconds,
    StateKind,
    StoredObject,
)
from ._codec import keep_desired_state
from ._words import MILLISECONDS, OBJECTS_PATH

CALL_LIMIT = Seconds(1.5)  # for a call beyond the wait that it asks for
KEPT_IDLE = Seconds(15)  # that an idle connection to the store stays open
NOT_FOUND = 404
CONFLICT = 409
GONE = 410

# How the store spells the kinds that every host follows; others are spelled alike.
KIND_NAMES = {
    StateKind.DESIRED_STATE.value: 'config',
    StateKind.REGISTRATIONS.value: 'servers',
    StateKind.EVACUATIONS.value: 'evacuations',
}

Form = TypeVar('Form')


class _MetaForm(msgspec.Struct, rename='camel'):
    name: str
    revision: int


class _ObjectForm(msgspec.Struct):
    meta: _MetaForm
    spec: msgspec.Raw = msgspec.Raw(b'null')


class _PageForm(msgspec.Struct, rename='camel'):
    items: list[_ObjectForm]
    as_of: int
    more: bool = False


class _EventForm(msgspec.Struct):
    object: _ObjectForm
    deleted: bool = False


class _EventsForm(msgspec.Struct, rename='camel'):
    events: list[_EventForm]
    as_of: int


class HttpStore:
    """Call the store, and tell lost replies from calls that had no effect.

    Args:
        address: host:port, or a URL without a path.
        counters: where calls are counted.
    """

    def __init__(self, address: str, counters: Counters) -> None:
        base = address if '://' in address else f'http://{address}'
        self._base = f'{base}{OBJECTS_PATH}'
        self._counters = counters
        self._reads: aiohttp.ClientSession | None = None
        self._writes: aiohttp.ClientSession | None = None

    async def list_kind(self, kind: str) -> ObjectList:
        """Return every object of a kind.

        Raises:
            PlatformUnavailable: when the store gave no listing.
        """
        found: list[StoredObject] = []
        query: dict[str, str] = {}
        as_of: Revision | None = None
        while True:
            content = await self._read('list', kind, '', query, Seconds(0))
            page = _decode(content, _PageForm)
            found += [_read_object(kind, each) for each in page.items]
            # Later pages may be newer; watching from the first one repeats the rest.
            as_of = Revision(page.as_of) if as_of is None else as_of
            if not page.more or not page.items:
                return _filter(kind, ObjectList(as_of, tuple(found)))
            query = {'after': page.items[-1].meta.name}

    async def watch_kind(self, kind: str, after: Revision, wait: Seconds) -> ObjectList:
        """Return the changes of a kind after a revision, waiting for the first.

        Raises:
            PlatformHistoryGone: when the store no longer keeps that history.
            PlatformUnavailable: when the store did not answer.
        """
        query = {'watch': str(after), 'waitMs': str(round(wait * MILLISECONDS))}
        page = _decode(await self._read('watch', kind, '', query, wait), _EventsForm)
        changes = [
            _read_object(kind, event.object, is_deleted=event.deleted)
            for event in page.events
        ]
        return _filter(kind, ObjectList(Revision(page.as_of), tuple(changes)))

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return one object, None when it does not exist."""
        content = await self._read('read', kind, name, {}, Seconds(0), absent=b'')
        return _read_object(kind, _decode(content, _ObjectForm)) if content else None

    async def write(
        self, kind: str, name: str, content: bytes, expected: Revision
    ) -> Revision:
        """Write an object if its revision is the expected one; zero creates it.

        Raises:
            PlatformConflict: when the revision is another.
            PlatformReplyLost: when the write may have taken effect.
            PlatformUnavailable: when it surely had no effect.
        """
        spec = msgspec.Raw(content)
        if expected == NO_REVISION:
            body = {'meta': {'name': name}, 'spec': spec}
            stored = await self._change('POST', kind, '', body)
        else:
            body = {'meta': {'name': name, 'revision': expected}, 'spec': spec}
            stored = await self._change('PUT', kind, name, body)
        return Revision(_decode(stored, _ObjectForm).meta.revision)

    async def delete(self, kind: str, name: str, expected: Revision) -> None:
        """Delete an object if its revision is the expected one; raises as write."""
        await self._change('DELETE', kind, name, None, {'revision': str(expected)})

    async def __aenter__(self) -> Self:
        limits = aiohttp.ClientTimeout(total=None)
        connector = aiohttp.TCPConnector(keepalive_timeout=KEPT_IDLE)
        self._reads = aiohttp.ClientSession(connector=connector, timeout=limits)
        # The library repeats a PUT when a kept connection breaks; a new one each time
        # leaves it nothing to repeat.
        once = aiohttp.TCPConnector(force_close=True)
        self._writes = aiohttp.ClientSession(connector=once, timeout=limits)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for session in (self._reads, self._writes):
            if session is not None:
                await session.close()

    async def _read(
        self,
        label: str,
        kind: str,
        name: str,
        query: dict[str, str],
        wait: Seconds,
        absent: bytes | None = None,
    ) -> bytes:
        assert self._reads is not None
        self._counters.add(Metric.PLATFORM_CALLS, label)
        url = self._locate(kind, name)
        limit = aiohttp.ClientTimeout(total=wait + CALL_LIMIT)
        try:
            async with self._reads.get(url, params=query, timeout=limit) as response:
                content = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PlatformUnavailable(f'{label} {kind}: {error!r}') from error
        if response.status == GONE:
            raise PlatformHistoryGone(kind)
        if response.status == NOT_FOUND and absent is not None:
            return absent
        if response.status >= 300:
            raise PlatformUnavailable(f'{label} {kind}: status {response.status}')
        return content

    async def _change(
        self,
        method: str,
        kind: str,
        name: str,
        body: Any,
        query: dict[str, str] | None = None,
    ) -> bytes:
        assert self._writes is not None
        self._counters.add(Metric.PLATFORM_CALLS, 'write')
        url = self._locate(kind, name)
        label = f'{method} {kind}/{name}'
        headers = {'Content-Type': 'application/json'}
        content = b'' if body is None else msgspec.json.encode(body)
        limit = aiohttp.ClientTimeout(total=CALL_LIMIT)
        call = self._writes.request(
            method, url, data=content, params=query, headers=headers, timeout=limit
        )
        try:
            async with call as response:
                reply = await response.read()
        except aiohttp.ClientConnectorError as error:
            raise PlatformUnavailable(f'{label}: {error!r}') from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PlatformReplyLost(f'{label}: {error!r}') from error
        if response.status in {CONFLICT, NOT_FOUND}:
            raise PlatformConflict(label)
        if response.status >= 300:
            raise PlatformUnavailable(f'{label}: status {response.status}')
        return reply

    def _locate(self, kind: str, name: str) -> str:
        path = quote(KIND_NAMES.get(kind, kind), safe='')
        return (
            f'{self._base}{path}/{quote(name, safe="")}' if name else self._base + path
        )


def _filter(kind: str, listing: ObjectList) -> ObjectList:
    if kind == StateKind.DESIRED_STATE.value:
        return keep_desired_state(listing)
    return listing


def _read_object(
    kind: str, form: _ObjectForm, *, is_deleted: bool = False
) -> StoredObject:
    return StoredObject(
        kind=kind,
        name=form.meta.name,
        revision=Revision(form.meta.revision),
        content=None if is_deleted else bytes(form.spec),
    )


def _decode(content: bytes, form: type[Form]) -> Form:
    try:
        return msgspec.json.decode(content, type=form)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PlatformUnavailable(f'the reply does not parse: {error}') from error
