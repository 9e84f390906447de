"""Client of the platform's object store over HTTP."""

from collections.abc import Callable, Mapping
from types import TracebackType
from typing import Any, Self
from urllib.parse import quote, urlencode

import msgspec
import structlog

from ..contracts import Counters, Metric, ObjectList
from ..model import (
    MS_PER_SECOND,
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
from ._codec import select_desired_state
from ._http import (
    HttpClientConnection,
    HttpConnectionBroken,
    HttpResponse,
    open_http_connection,
)
from ._json import UnreadableJson
from ._pages import StorePage, decode_events, decode_listing, decode_object
from ._words import OBJECTS_PATH

CALL_TIMEOUT = Seconds(1)  # for a call, in addition to the wait of a long poll
NO_WAIT = Seconds(0)
STALE_ALLOWED = 'staleAllowed'  # query of a read whose result may be seconds old
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
# Statuses of a change that had no effect. After any other failure it may have had one.
UNCHANGED_STATUSES = frozenset((400, 401, 403, 405, 411, 413, 429, 503))
# Of a listing, whose pages hold about a megabyte before they are escaped.
MAX_LISTING_BYTES = 16 * 1024 * 1024
FIRST_FAILURE_STATUS = 300  # this status and those above it carry no result
REQUEST_HEAD = (
    '{method} {path} HTTP/1.1\r\nHost: {address}\r\n'
    'Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n'
)

# Names in the store of the kinds of state that are replicated to every host; the other
# kinds have the same name in the store as here.
KIND_NAMES = {
    StateKind.DESIRED_STATE.value: 'config',
    StateKind.REGISTRATIONS.value: 'servers',
    StateKind.EVACUATIONS.value: 'evacuations',
}


class HttpStore:
    """Client of the store.

    Errors of writes distinguish a lost reply, after which the write may have taken
    effect, from a call that had no effect.

    Args:
        address: host:port, or an http URL without a path.
        counters: receives a count for each call.
    """

    def __init__(self, address: str, counters: Counters) -> None:
        self._address = address.removeprefix('http://')
        self._counters = counters
        self._idle: list[HttpClientConnection] = []
        self._log = structlog.get_logger()

    async def list_kind(self, kind: str, *, may_be_stale: bool = False) -> ObjectList:
        """Return every object of a kind.

        Args:
            kind: the kind of the objects.
            may_be_stale: whether the objects may be some seconds old; such a call costs
                a tenth of the price and counts towards no rate.

        Raises:
            PlatformUnavailable: when the store did not return a listing.
        """
        found: list[StoredObject] = []
        query: dict[str, object] = {STALE_ALLOWED: 1} if may_be_stale else {}
        as_of: Revision | None = None
        while True:
            content = await self._read('list', _make_path(kind, query=query))
            page = self._decode_page(decode_listing, kind, content)
            found += page.objects
            # Later pages may be of a newer revision. A watch that starts after the
            # revision of the first page receives the changes in between again.
            as_of = page.revision if as_of is None else as_of
            if not page.has_more:
                return _filter(kind, ObjectList(as_of, tuple(found)))
            last = page.objects[-1].name if page.objects else None
            if last in {None, query.get('after')}:
                raise PlatformUnavailable(f'list {kind}: no name to continue after')
            query['after'] = last

    async def watch_kind(self, kind: str, after: Revision, wait: Seconds) -> ObjectList:
        """Return the changes of a kind after a revision, by a long poll.

        Args:
            kind: the kind of the objects.
            after: the revision up to which the changes are known.
            wait: seconds that the store may wait for the first change.

        Raises:
            PlatformHistoryGone: when the store no longer has the changes after that
                revision.
            PlatformUnavailable: when the store did not return the changes.
        """
        query = {'watch': after, 'waitMs': round(wait * MS_PER_SECOND)}
        path = _make_path(kind, query=query)
        content = await self._read('watch', path, wait)
        page = self._decode_page(decode_events, kind, content)
        return _filter(kind, ObjectList(page.revision, page.objects))

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return one object, None when it does not exist.

        Raises:
            PlatformUnavailable: when the store did not return it.
        """
        content = await self._read(
            'read', _make_path(kind, name), default_if_missing=b''
        )
        if not content:
            return None
        try:
            return decode_object(kind, content)
        except UnreadableJson as error:
            raise PlatformUnavailable(f'read {kind} {name}: {error}') from error

    async def write(
        self, kind: str, name: str, content: bytes, expected: Revision
    ) -> Revision:
        """Write an object by compare-and-set and return its new revision.

        Args:
            kind: the kind of the object.
            name: the name of the object.
            content: the new content, as JSON.
            expected: the revision to replace; NO_REVISION creates the object.

        Raises:
            PlatformConflict: when the object has another revision.
            PlatformReplyLost: when the write may have taken effect.
            PlatformUnavailable: when the write had no effect.
        """
        spec = msgspec.Raw(content)
        if expected == NO_REVISION:
            body = {'meta': {'name': name}, 'spec': spec}
            stored = await self._change('POST', _make_path(kind), body)
        else:
            body = {'meta': {'name': name, 'revision': expected}, 'spec': spec}
            stored = await self._change('PUT', _make_path(kind, name), body)
        try:
            return decode_object(kind, stored).revision
        except UnreadableJson as error:
            raise PlatformReplyLost(f'write {kind} {name}: {error}') from error

    async def delete(self, kind: str, name: str, expected: Revision) -> None:
        """Delete an object by compare-and-set; raises the same errors as `write`."""
        await self._change('DELETE', _make_path(kind, name, {'revision': expected}))

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        while self._idle:
            self._idle.pop().close()

    def _decode_page(
        self,
        decode: Callable[[str, bytes], StorePage],
        kind: str,
        content: bytes,
    ) -> StorePage:
        """Decode a page, and log the objects that are left out of it.

        Raises:
            PlatformUnavailable: when the page is not readable.
        """
        try:
            page = decode(kind, content)
        except UnreadableJson as error:
            raise PlatformUnavailable(
                f'the reply of the store does not decode: {error}'
            ) from error
        for reason in page.failures:
            self._counters.add(Metric.OBJECTS_UNREADABLE, kind)
            self._log.warning('object has no readable name', kind=kind, reason=reason)
        return page

    async def _read(
        self,
        label: str,
        path: str,
        wait: Seconds = NO_WAIT,
        default_if_missing: bytes | None = None,
    ) -> bytes:
        self._counters.add(Metric.PLATFORM_CALLS, label)
        limit = Seconds(CALL_TIMEOUT + wait)
        try:
            response = await self._call('GET', path, b'', limit)
        except (OSError, TimeoutError, HttpConnectionBroken) as error:
            raise PlatformUnavailable(f'{label} {path}: {error!r}') from error
        if response.status == GONE:
            raise PlatformHistoryGone(path)
        if response.status == NOT_FOUND and default_if_missing is not None:
            return default_if_missing
        if response.status >= FIRST_FAILURE_STATUS:
            raise PlatformUnavailable(f'{label} {path}: status {response.status}')
        return bytes(response.body)

    async def _change(self, method: str, path: str, body: Any = None) -> bytes:
        self._counters.add(Metric.PLATFORM_CALLS, 'write')
        label = f'{method} {path}'
        content = b'' if body is None else msgspec.json.encode(body)
        try:
            connection = await open_http_connection(self._address, CALL_TIMEOUT)
        except (OSError, TimeoutError) as error:
            raise PlatformUnavailable(f'{label}: {error!r}') from error
        try:
            response = await self._exchange(
                connection, method, path, content, CALL_TIMEOUT
            )
        except (TimeoutError, HttpConnectionBroken) as error:
            raise PlatformReplyLost(f'{label}: {error!r}') from error
        if response.status in {CONFLICT, NOT_FOUND}:
            raise PlatformConflict(label)
        if response.status in UNCHANGED_STATUSES:
            raise PlatformUnavailable(f'{label}: status {response.status}')
        if response.status >= FIRST_FAILURE_STATUS:
            raise PlatformReplyLost(f'{label}: status {response.status}')
        return bytes(response.body)

    async def _call(
        self, method: str, path: str, content: bytes, limit: Seconds
    ) -> HttpResponse:
        connection = self._pop_idle() or await open_http_connection(
            self._address, CALL_TIMEOUT
        )
        return await self._exchange(connection, method, path, content, limit)

    async def _exchange(
        self,
        connection: HttpClientConnection,
        method: str,
        path: str,
        content: bytes,
        limit: Seconds,
    ) -> HttpResponse:
        """Make one call and keep the connection for another if it is reusable."""
        head = REQUEST_HEAD.format(
            method=method, path=path, address=self._address, length=len(content)
        )
        response = HttpResponse(max_body_bytes=MAX_LISTING_BYTES)
        try:
            await connection.exchange((head.encode(), content), response, limit)
        finally:
            if connection.is_reusable:
                self._idle.append(connection)
            else:
                connection.abort()
        return response

    def _pop_idle(self) -> HttpClientConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
            connection.close()
        return None


def _make_path(
    kind: str, name: str = '', query: Mapping[str, object] | None = None
) -> str:
    """Return the path of a kind or of one of its objects, with a query."""
    path = OBJECTS_PATH + quote(KIND_NAMES.get(kind, kind), safe='')
    if name:
        path = f'{path}/{quote(name, safe="")}'
    return f'{path}?{urlencode(query)}' if query else path


def _filter(kind: str, listing: ObjectList) -> ObjectList:
    if kind == StateKind.DESIRED_STATE.value:
        return select_desired_state(listing)
    return listing
