"""Calls to upstreams over HTTP."""

import asyncio
from collections.abc import Sequence
from types import TracebackType
from typing import Any, Self, TypeVar

import aiohttp
import msgspec

from ..contracts import BookingResult, SearchResult, SubResult
from ..model import (
    MILLISECONDS,
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

IDENTIFY_TIMEOUT = Seconds(1)
CANCEL_TIMEOUT = Seconds(1)  # for a cancelled call's reply, while its slot is taken
CONNECT_TIMEOUT = Seconds(1)
SERVICE_UNAVAILABLE = 503
JSON_HEADERS = {'Content-Type': 'application/json'}

ReplyType = TypeVar('ReplyType')


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


class SearchReplyPart(msgspec.Struct):
    """An upstream's answer to one sub-request; `refused` is empty if it ran."""

    version: int
    shards: list[str]
    hits: list[tuple[str, float, str]]
    refused: str = ''


class SearchReply(msgspec.Struct):
    """An upstream's answer to a search call."""

    incarnation: str
    leaving: bool
    parts: list[SearchReplyPart]


class BookCall(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a booking call."""

    call: str
    deadline_ms: float
    content: str


class BookReply(msgspec.Struct):
    """An upstream's answer to a booking call."""

    incarnation: str
    leaving: bool
    reference: str


class RefusalReply(msgspec.Struct):
    """An upstream's word that it did not run a call."""

    refused: str


class IdentifyReply(msgspec.Struct):
    """Who an upstream is."""

    incarnation: str
    leaving: bool


REFUSAL_REASONS = {
    'shed': Reason.UPSTREAM_SHED,
    'leaving': Reason.UPSTREAM_LEAVING,
    'version gone': Reason.VERSION_GONE,
    'shard not held': Reason.SHARD_NOT_HELD,
    'cancelled': Reason.CANCELLED,
    'deadline': Reason.DEADLINE,
}


class HttpUpstreamClient:
    """Open a connection for each seat."""

    def open(self, upstream: UpstreamRecord) -> '_HttpConnection':
        """Return a connection for one seat."""
        return _HttpConnection(upstream)


class _HttpConnection:
    """One kept-open connection, and a second for cancels if the upstream has room."""

    def __init__(self, upstream: UpstreamRecord) -> None:
        self._base = f'http://{upstream.address}'
        connections_per_slot = upstream.connections // upstream.slots
        self._can_cancel = connections_per_slot > 1
        self._connection_limit = 2 if self._can_cancel else 1
        self._session: aiohttp.ClientSession | None = None
        self._current_call: str | None = None

    async def __aenter__(self) -> Self:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=self._connection_limit),
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
            budget * MILLISECONDS,
            [_write_part(part) for part in parts],
        )
        search_reply = await self._post_call(
            '/v1/search', call, body, budget, SearchReply
        )
        return SearchResult(
            Incarnation(search_reply.incarnation),
            search_reply.leaving,
            tuple(_read_part(part) for part in search_reply.parts),
        )

    async def book(self, command: BookingCommand, budget: Seconds) -> BookingResult:
        """Run a booking, which takes one slot."""
        call = f'{command.request}/{command.attempt}'
        body = BookCall(call, budget * MILLISECONDS, command.content)
        book_reply = await self._post_call('/v1/book', call, body, budget, BookReply)
        return BookingResult(
            Incarnation(book_reply.incarnation),
            book_reply.leaving,
            book_reply.reference,
        )

    async def cancel(self) -> None:
        """Ask the upstream to stop the call in flight; its reply then comes at once."""
        if self._current_call is None or not self._can_cancel:
            return
        try:
            await self._post('/v1/cancel', {'call': self._current_call}, CANCEL_TIMEOUT)
        except UpstreamError:
            return

    async def identify(self) -> tuple[Incarnation, bool]:
        """Return the incarnation, and whether the upstream says it is leaving."""
        content = await self._post('/v1/identify', {}, IDENTIFY_TIMEOUT)
        identified = _decode(content, IdentifyReply)
        return Incarnation(identified.incarnation), identified.leaving

    async def _post_call(
        self,
        path: str,
        call: str,
        body: Any,
        budget: Seconds,
        reply_type: type[ReplyType],
    ) -> ReplyType:
        """Post a call; at its deadline cancel it and wait a little for its end.

        The seat stays in use meanwhile, since the upstream's slot may be.
        """
        self._current_call = call
        post_task = asyncio.ensure_future(
            self._post(path, body, Seconds(budget + CANCEL_TIMEOUT))
        )
        try:
            done, _ = await asyncio.wait((post_task,), timeout=budget)
            if not done:
                await self.cancel()
            return _decode(await post_task, reply_type)
        finally:
            post_task.cancel()
            self._current_call = None

    async def _post(self, path: str, body: Any, limit: Seconds) -> bytes:
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=limit, sock_connect=CONNECT_TIMEOUT)
        data = msgspec.json.encode(body)
        try:
            async with self._session.post(
                self._base + path, data=data, headers=JSON_HEADERS, timeout=timeout
            ) as response:
                content = await response.read()
                status = response.status
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise _make_error(Reason.UPSTREAM_UNREACHABLE, Outcome.NOT_RUN) from error
        except TimeoutError as error:
            raise _make_error(Reason.DEADLINE, Outcome.UNKNOWN) from error
        except aiohttp.ClientError as error:
            raise _make_error(Reason.UPSTREAM_LOST, Outcome.UNKNOWN) from error
        if status == SERVICE_UNAVAILABLE:
            refused = _decode(content, RefusalReply)
            reason = REFUSAL_REASONS.get(refused.refused, Reason.UPSTREAM_SHED)
            raise _make_error(reason, Outcome.NOT_RUN)
        if status >= 300:
            raise _make_error(Reason.UPSTREAM_FAILED, Outcome.UNKNOWN)
        return content


def _write_part(part: SubRequest) -> SearchPart:
    return SearchPart(part.version, list(part.shards), part.query, part.limit)


def _read_part(part: SearchReplyPart) -> SubResult:
    hits = tuple(
        Hit(DocumentId(document), score, text) for document, score, text in part.hits
    )
    reason = REFUSAL_REASONS.get(part.refused, Reason.UPSTREAM_FAILED)
    return SubResult(
        IndexVersion(part.version),
        tuple(ShardId(shard) for shard in part.shards),
        hits,
        reason if part.refused else Reason.NONE,
    )


def _decode(content: bytes, reply_type: type[ReplyType]) -> ReplyType:
    try:
        return msgspec.json.decode(content, type=reply_type)
    except msgspec.DecodeError as error:
        raise _make_error(Reason.UPSTREAM_FAILED, Outcome.UNKNOWN) from error


def _make_error(reason: Reason, outcome: Outcome) -> UpstreamError:
    return UpstreamError(reason, outcome)
