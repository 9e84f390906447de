"""Calls to upstreams over HTTP."""

import asyncio
from collections.abc import Sequence
from types import TracebackType
from typing import Any, Self, TypeVar

import aiohttp
import msgspec

from ..contracts import BookingResult, SearchResult, SubResult
from ..model import (
    MS_PER_SECOND,
    BookingCommand,
    DocumentId,
    Hit,
    Incarnation,
    IndexVersion,
    Outcome,
    Reason,
    Seconds,
    ShardId,
    SubRequest,
    UpstreamError,
    UpstreamRecord,
)

IDENTIFY_LIMIT = Seconds(1)
CANCEL_LIMIT = Seconds(1)  # for a cancelled call's reply, while its slot is taken
CONNECT_LIMIT = Seconds(1)
SERVICE_UNAVAILABLE = 503
JSON_HEADERS = {'Content-Type': 'application/json'}

Form = TypeVar('Form')


class SearchPart(msgspec.Struct, forbid_unknown_fields=True):
    """A sub-request on its way to an upstream."""

    version: int
    shards: list[str]
    query: str
    limit: int


class SearchCall(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a search call."""

    call: str
    deadline_ms: float
    parts: list[SearchPart]


class FoundPart(msgspec.Struct):
    """An upstream's answer to one sub-request; `refused` is empty if it ran."""

    version: int
    shards: list[str]
    hits: list[tuple[str, float, str]]
    refused: str = ''


class FoundCall(msgspec.Struct):
    """An upstream's answer to a search call."""

    incarnation: str
    leaving: bool
    parts: list[FoundPart]


class BookCall(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a booking call."""

    call: str
    deadline_ms: float
    content: str


class BookedCall(msgspec.Struct):
    """An upstream's answer to a booking call."""

    incarnation: str
    leaving: bool
    reference: str


class RefusedCall(msgspec.Struct):
    """An upstream's word that it did not run a call."""

    refused: str


class Identified(msgspec.Struct):
    """Who an upstream is."""

    incarnation: str
    leaving: bool


REFUSALS = {
    'shed': Reason.UPSTREAM_SHED,
    'leaving': Reason.UPSTREAM_DRAINING,
    'version gone': Reason.VERSION_GONE,
    'shard not held': Reason.SHARD_NOT_HELD,
    'cancelled': Reason.CANCELLED,
    'deadline': Reason.DEADLINE,
}


class HttpUpstreams:
    """Open a connection for each seat."""

    def open(self, upstream: UpstreamRecord) -> '_HttpConnection':
        """Return a connection for one seat."""
        return _HttpConnection(upstream)


class _HttpConnection:
    """One kept-open connection, and a second for cancels if the upstream has room."""

    def __init__(self, upstream: UpstreamRecord) -> None:
        self._base = f'http://{upstream.address}'
        room = upstream.connections // upstream.slots
        self._can_cancel = room > 1
        self._limit = 2 if self._can_cancel else 1
        self._session: aiohttp.ClientSession | None = None
        self._call: str | None = None

    async def __aenter__(self) -> Self:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=self._limit),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._session is not None:
            await self._session.close()

    async def search(
        self, call: str, parts: Sequence[SubRequest], budget: Seconds
    ) -> SearchResult:
        """Run sub-requests in one call, which takes one slot."""
        body = SearchCall(
            call,
            budget * MS_PER_SECOND,
            [_write_part(part) for part in parts],
        )
        found = await self._post_call('/v1/search', call, body, budget, FoundCall)
        return SearchResult(
            Incarnation(found.incarnation),
            found.leaving,
            tuple(_read_part(part) for part in found.parts),
        )

    async def book(self, command: BookingCommand, budget: Seconds) -> BookingResult:
        """Run a booking, which takes one slot."""
        call = f'{command.request}/{command.attempt}'
        body = BookCall(call, budget * MS_PER_SECOND, command.content)
        booked = await self._post_call('/v1/book', call, body, budget, BookedCall)
        return BookingResult(
            Incarnation(booked.incarnation), booked.leaving, booked.reference
        )

    async def cancel(self) -> None:
        """Ask the upstream to stop the call in flight; its reply then comes at once."""
        if self._call is None or not self._can_cancel:
            return
        try:
            await self._post('/v1/cancel', {'call': self._call}, CANCEL_LIMIT)
        except UpstreamError:
            return

    async def identify(self) -> tuple[Incarnation, bool]:
        """Return the incarnation, and whether the upstream says it is leaving."""
        content = await self._post('/v1/identify', {}, IDENTIFY_LIMIT)
        identified = _decode(content, Identified)
        return Incarnation(identified.incarnation), identified.leaving

    async def _post_call(
        self, path: str, call: str, body: Any, budget: Seconds, form: type[Form]
    ) -> Form:
        """Post a call; at its deadline cancel it and wait a little for its end.

        The seat stays in use meanwhile, since the upstream's slot may be.
        """
        self._call = call
        posting = asyncio.ensure_future(
            self._post(path, body, Seconds(budget + CANCEL_LIMIT))
        )
        try:
            done, _ = await asyncio.wait((posting,), timeout=budget)
            if not done:
                await self.cancel()
            return _decode(await posting, form)
        finally:
            posting.cancel()
            self._call = None

    async def _post(self, path: str, body: Any, limit: Seconds) -> bytes:
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=limit, sock_connect=CONNECT_LIMIT)
        data = msgspec.json.encode(body)
        try:
            async with self._session.post(
                self._base + path, data=data, headers=JSON_HEADERS, timeout=timeout
            ) as response:
                content = await response.read()
                status = response.status
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise _fail(Reason.UPSTREAM_UNREACHABLE, Outcome.NOT_RUN) from error
        except TimeoutError as error:
            raise _fail(Reason.DEADLINE, Outcome.UNKNOWN) from error
        except aiohttp.ClientError as error:
            raise _fail(Reason.UPSTREAM_LOST, Outcome.UNKNOWN) from error
        if status == SERVICE_UNAVAILABLE:
            refused = _decode(content, RefusedCall)
            reason = REFUSALS.get(refused.refused, Reason.UPSTREAM_SHED)
            raise _fail(reason, Outcome.NOT_RUN)
        if status >= 300:
            raise _fail(Reason.UPSTREAM_FAILED, Outcome.UNKNOWN)
        return content


def _write_part(part: SubRequest) -> SearchPart:
    return SearchPart(part.version, list(part.shards), part.query, part.limit)


def _read_part(part: FoundPart) -> SubResult:
    hits = tuple(
        Hit(DocumentId(document), score, text) for document, score, text in part.hits
    )
    reason = REFUSALS.get(part.refused, Reason.UPSTREAM_FAILED)
    return SubResult(
        IndexVersion(part.version),
        tuple(ShardId(shard) for shard in part.shards),
        hits,
        reason if part.refused else Reason.NONE,
    )


def _decode(content: bytes, form: type[Form]) -> Form:
    try:
        return msgspec.json.decode(content, type=form)
    except msgspec.DecodeError as error:
        raise _fail(Reason.UPSTREAM_FAILED, Outcome.UNKNOWN) from error


def _fail(reason: Reason, outcome: Outcome) -> UpstreamError:
    return UpstreamError(reason, outcome)
