"""Stand-in upstreams behind HTTP servers, in the tier's own JSON format."""

from typing import Any

import msgspec
from aiohttp import web

from ..contracts import SearchResult, SubResult
from ..model import (
    MS_PER_SECOND,
    Fingerprint,
    IndexVersion,
    OrganisationId,
    Outcome,
    Reason,
    RequestId,
    Seconds,
    ServiceId,
    ShardId,
    SubRequest,
    UpstreamError,
)
from ..transports import REFUSAL_REASONS, BookCall, SearchCall, SearchPart
from ._serving import HttpServer, abort, reply
from ._upstream import StandinUpstream

# Values of `refused` by reason.
REFUSAL_CODES = {reason: code for code, reason in REFUSAL_REASONS.items()}


class UpstreamServer:
    """Serves the calls of one upstream over HTTP; a crash aborts their connections."""

    def __init__(self, upstream: StandinUpstream) -> None:
        self._upstream = upstream
        self._open: set[int] = set()

    def serve(self) -> HttpServer:
        """Return an HTTP server at the address in the upstream's record."""
        routes = [
            web.post('/v1/search', self._search),
            web.post('/v1/book', self._book),
            web.post('/v1/cancel', self._cancel),
            web.post('/v1/identify', self._identify),
        ]
        return HttpServer(self._upstream.record.address, routes)

    async def _search(self, request: web.Request) -> web.Response:
        call = msgspec.json.decode(await request.read(), type=SearchCall)
        budget = Seconds(call.deadline_ms / MS_PER_SECOND)
        parts = [_read_part(self._upstream, part, budget) for part in call.parts]
        try:
            search_result = await self._upstream.search(call.call, parts, budget)
        except UpstreamError as error:
            return _refuse(request, error, call.call)
        return reply(_write_search_result(search_result, call.call))

    async def _book(self, request: web.Request) -> web.Response:
        call = msgspec.json.decode(await request.read(), type=BookCall)
        budget = Seconds(call.deadline_ms / MS_PER_SECOND)
        try:
            booking_result = await self._upstream.book(call.call, call.content, budget)
        except UpstreamError as error:
            return _refuse(request, error, call.call)
        return reply(
            {
                'call': call.call,
                'incarnation': booking_result.incarnation,
                'leaving': booking_result.is_leaving,
                'reference': booking_result.reference,
            }
        )

    async def _cancel(self, request: web.Request) -> web.Response:
        form = msgspec.json.decode(await request.read(), type=dict[str, str])
        self._upstream.cancel(form['call'])
        return reply({})

    async def _identify(self, request: web.Request) -> web.Response:
        if not self._upstream.is_up:
            return abort(request)
        return reply(
            {
                'incarnation': self._upstream.incarnation,
                'leaving': self._upstream.behaviour.leaving,
            }
        )


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


def _write_search_result(search_result: SearchResult, call: str) -> dict[str, Any]:
    return {
        'call': call,
        'incarnation': search_result.incarnation,
        'leaving': search_result.is_leaving,
        'parts': [_write_part(part) for part in search_result.parts],
    }


def _write_part(part: SubResult) -> dict[str, Any]:
    refused = '' if part.reason is Reason.NONE else REFUSAL_CODES[part.reason]
    return {
        'version': part.version,
        'shards': part.shards,
        'hits': [(hit.document, hit.score, hit.text) for hit in part.hits],
        'refused': refused,
    }


def _refuse(request: web.Request, error: UpstreamError, call: str) -> web.Response:
    if error.outcome is Outcome.NOT_RUN and error.reason in REFUSAL_CODES:
        refused = {'refused': REFUSAL_CODES[error.reason], 'call': call}
        return reply(refused, web.HTTPServiceUnavailable.status_code)
    return abort(request)
