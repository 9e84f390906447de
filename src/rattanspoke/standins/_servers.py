"""The stand-ins behind HTTP, for the demo, benchmarks and tests of the transports."""

import asyncio
from types import TracebackType
from typing import Any, Self

import msgspec
from aiohttp import web

from ..contracts import SearchResult, SubResult
from ..model import (
    Fingerprint,
    HostId,
    IndexVersion,
    OrganisationId,
    Outcome,
    PlatformConflict,
    PlatformObjectMissing,
    PlatformReplyLost,
    PlatformUnavailable,
    Reason,
    RequestId,
    Revision,
    Seconds,
    ServiceId,
    ShardId,
    StoredObject,
    SubRequest,
    UpstreamError,
    ZoneId,
)
from ..transports import REFUSALS, BookCall, SearchCall, SearchPart
from ._platform import StandinPlatform
from ._upstream import StandinUpstream

MILLISECONDS = 1000  # in a second
REFUSAL_WORDS = {reason: word for word, reason in REFUSALS.items()}


class HttpServer:
    """Serve some routes at an address of the loopback."""

    def __init__(self, address: str, routes: list[web.RouteDef]) -> None:
        self._host, _, port = address.rpartition(':')
        self._port = int(port)
        self._app = web.Application()
        self._app.add_routes(routes)
        self._runner = web.AppRunner(self._app, access_log=None)

    async def __aenter__(self) -> Self:
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self._port).start()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._runner.cleanup()


class UpstreamServer:
    """One upstream's calls over HTTP; a crash aborts its connections."""

    def __init__(self, upstream: StandinUpstream) -> None:
        self._upstream = upstream
        self._open: set[int] = set()

    def serve(self) -> HttpServer:
        """Return the server of this upstream."""
        routes = [
            web.post('/v1/search', self._search),
            web.post('/v1/book', self._book),
            web.post('/v1/cancel', self._cancel),
            web.post('/v1/identify', self._identify),
        ]
        return HttpServer(self._upstream.record.address, routes)

    async def _search(self, request: web.Request) -> web.Response:
        call = msgspec.json.decode(await request.read(), type=SearchCall)
        budget = Seconds(call.deadline_ms / MILLISECONDS)
        parts = [_read_part(self._upstream, part, budget) for part in call.parts]
        try:
            found = await self._upstream.search(call.call, parts, budget)
        except UpstreamError as error:
            return _refuse(request, error)
        return _reply(_write_found(found))

    async def _book(self, request: web.Request) -> web.Response:
        call = msgspec.json.decode(await request.read(), type=BookCall)
        budget = Seconds(call.deadline_ms / MILLISECONDS)
        try:
            booked = await self._upstream.book(call.call, call.content, budget)
        except UpstreamError as error:
            return _refuse(request, error)
        return _reply(
            {
                'incarnation': booked.incarnation,
                'leaving': booked.is_leaving,
                'reference': booked.reference,
            }
        )

    async def _cancel(self, request: web.Request) -> web.Response:
        form = msgspec.json.decode(await request.read(), type=dict[str, str])
        self._upstream.cancel(form['call'])
        return _reply({})

    async def _identify(self, request: web.Request) -> web.Response:
        if not self._upstream.is_up:
            return _abort(request)
        return _reply(
            {
                'incarnation': self._upstream.incarnation,
                'leaving': self._upstream.behaviour.leaving,
            }
        )


class PlatformServer:
    """The platform's object API over HTTP."""

    def __init__(self, platform: StandinPlatform, address: str) -> None:
        self._platform = platform
        self._address = address

    def serve(self) -> HttpServer:
        """Return the server of the platform."""
        routes = [
            web.get('/v1/objects', self._list),
            web.get('/v1/watch', self._watch),
            web.get('/v1/objects/{kind}/{name}', self._read),
            web.put('/v1/objects/{kind}/{name}', self._write),
            web.get('/v1/hosts', self._hosts),
            web.put('/v1/hosts/{host}', self._announce),
            web.delete('/v1/hosts/{host}', self._drop),
        ]
        return HttpServer(self._address, routes)

    async def _list(self, request: web.Request) -> web.Response:
        try:
            listing = await self._platform.list_objects()
        except PlatformUnavailable:
            return _reply({}, web.HTTPServiceUnavailable.status_code)
        return _reply(_write_list(listing.revision, listing.objects))

    async def _watch(self, request: web.Request) -> web.Response:
        after = Revision(int(request.query['after']))
        wait = Seconds(float(request.query['wait']))
        try:
            changes = await self._platform.watch(after, wait)
        except PlatformObjectMissing:
            return _reply({}, web.HTTPGone.status_code)
        except PlatformUnavailable:
            return _reply({}, web.HTTPServiceUnavailable.status_code)
        return _reply(_write_list(changes.revision, changes.objects))

    async def _read(self, request: web.Request) -> web.Response:
        kind, name = request.match_info['kind'], request.match_info['name']
        try:
            stored = await self._platform.read(kind, name)
        except PlatformUnavailable:
            return _reply({}, web.HTTPServiceUnavailable.status_code)
        if stored is None:
            return _reply({}, web.HTTPNotFound.status_code)
        return _reply(_write_object(stored))

    async def _write(self, request: web.Request) -> web.Response:
        kind, name = request.match_info['kind'], request.match_info['name']
        expected = Revision(int(request.query['expected']))
        content = await request.read()
        try:
            written = await self._platform.write(kind, name, content, expected)
        except PlatformConflict:
            return _reply({}, web.HTTPConflict.status_code)
        except PlatformReplyLost:
            return _abort(request)
        except PlatformUnavailable:
            return _reply({}, web.HTTPServiceUnavailable.status_code)
        return _reply({'revision': written})

    async def _hosts(self, request: web.Request) -> web.Response:
        try:
            listed = await self._platform.list_hosts()
        except PlatformUnavailable:
            return _reply({}, web.HTTPServiceUnavailable.status_code)
        return _reply([msgspec.to_builtins(each) for each in listed])

    async def _announce(self, request: web.Request) -> web.Response:
        host = HostId(request.match_info['host'])
        self._platform.announce(host, ZoneId(request.query['zone']))
        return _reply({})

    async def _drop(self, request: web.Request) -> web.Response:
        self._platform.drop(HostId(request.match_info['host']))
        return _reply({})


def _read_part(
    upstream: StandinUpstream, part: SearchPart, budget: Seconds
) -> SubRequest:
    return SubRequest(
        request=RequestId(''),
        attempt=0,
        upstream=upstream.record.upstream,
        service=ServiceId(upstream.record.service),
        version=IndexVersion(part.version),
        shards=tuple(ShardId(shard) for shard in part.shards),
        query=part.query,
        limit=part.limit,
        organisation=OrganisationId(''),
        fingerprint=Fingerprint(''),
        budget=budget,
    )


def _write_found(found: SearchResult) -> dict[str, Any]:
    return {
        'incarnation': found.incarnation,
        'leaving': found.is_leaving,
        'parts': [_write_part(part) for part in found.parts],
    }


def _write_part(part: SubResult) -> dict[str, Any]:
    refused = '' if part.reason is Reason.NONE else REFUSAL_WORDS[part.reason]
    return {
        'version': part.version,
        'shards': part.shards,
        'hits': [(hit.document, hit.score, hit.text) for hit in part.hits],
        'refused': refused,
    }


def _write_list(
    revision: Revision, objects: tuple[StoredObject, ...]
) -> dict[str, Any]:
    return {
        'revision': revision,
        'objects': [_write_object(stored) for stored in objects],
    }


def _write_object(stored: StoredObject) -> dict[str, Any]:
    return {
        'kind': stored.kind,
        'name': stored.name,
        'revision': stored.revision,
        'content': None if stored.content is None else stored.content.decode(),
    }


def _refuse(request: web.Request, error: UpstreamError) -> web.Response:
    if error.outcome is Outcome.NOT_RUN and error.reason in REFUSAL_WORDS:
        refused = {'refused': REFUSAL_WORDS[error.reason]}
        return _reply(refused, web.HTTPServiceUnavailable.status_code)
    return _abort(request)


def _abort(request: web.Request) -> web.Response:
    """Break the connection as a crash does, with no reply."""
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError


def _reply(form: Any, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(form), status=status, content_type='application/json'
    )
