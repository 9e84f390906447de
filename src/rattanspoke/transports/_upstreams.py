"""Calls to upstreams in the tier's own JSON format over HTTP."""

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
from ..platform import UnreadableJson, decode_json

IDENTIFY_TIMEOUT = Seconds(1)
MAX_REPLY_BYTES = 4 * 1024 * 1024  # an upstream in trouble may send without end
# Also how long the seat waits for the reply to a cancelled call after its deadline,
# because the upstream's slot may still be in use until then.
CANCEL_TIMEOUT = Seconds(1)
CONNECT_TIMEOUT = Seconds(1)
SERVICE_UNAVAILABLE = 503
JSON_HEADERS = {'Content-Type': 'application/json'}

ReplyType = TypeVar('ReplyType')
CallReplyType = TypeVar('CallReplyType', 'SearchReply', 'BookReply')


class SearchPart(msgspec.Struct, forbid_unknown_fields=True):
    """One sub-request in the body of a search call."""

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
    """The reply to one sub-request of a search call.

    Attributes:
        hits: document, score and text of each hit.
        refused: why the upstream did not run the sub-request, empty if it ran.
    """

    version: int
    shards: list[str]
    hits: list[tuple[str, float, str]]
    refused: str = ''


class SearchReply(msgspec.Struct):
    """The body of the reply to a search call, its parts in the order of the call's.

    Attributes:
        call: the call that is replied to; empty from an upstream that does not say.
    """

    incarnation: str
    leaving: bool
    parts: list[SearchReplyPart]
    call: str = ''


class BookCall(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a booking call."""

    call: str
    deadline_ms: float
    content: str


class BookReply(msgspec.Struct):
    """The body of the reply to a booking call."""

    incarnation: str
    leaving: bool
    reference: str
    call: str = ''


class RefusalReply(msgspec.Struct):
    """The body of a 503 response: why the upstream did not run the call."""

    refused: str
    call: str = ''


class IdentifyReply(msgspec.Struct):
    """The body of the reply to an identify call."""

    incarnation: str
    leaving: bool


# Reasons for the values of `refused`.
REFUSAL_REASONS = {
    'shed': Reason.UPSTREAM_SHED,
    'leaving': Reason.UPSTREAM_DRAINING,
    'version gone': Reason.VERSION_GONE,
    'shard not held': Reason.SHARD_NOT_HELD,
    'cancelled': Reason.CANCELLED,
    'deadline': Reason.DEADLINE,
}


class HttpUpstreamClient:
    """Opens HTTP connections to upstreams, one for each seat."""

    def open(self, upstream: UpstreamRecord) -> '_HttpConnection':
        """Return the connection of one seat; it connects with its first call."""
        return _HttpConnection(upstream)


class _HttpConnection:
    """The persistent connection of one seat, for one call at a time.

    Opens a second one, for cancel requests, if the upstream's limit allows two or more
    connections for each slot. Otherwise calls are never cancelled.
    """

    def __init__(self, upstream: UpstreamRecord) -> None:
        self._base = f'http://{upstream.address}'
        connections_per_slot = upstream.connections // upstream.slots
        self._can_cancel = connections_per_slot > 1
        self._connection_limit = 2 if self._can_cancel else 1
        self._session: aiohttp.ClientSession | None = None
        self._current_call: str | None = None
        self._names_calls = False  # whether the upstream names the call in its replies

    async def __aenter__(self) -> Self:
        self._session = self._make_session()
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
        """Run sub-requests in one call, which uses one slot of the upstream."""
        body = SearchCall(
            call,
            budget * MS_PER_SECOND,
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
        """Run a booking in one call, which uses one slot of the upstream."""
        call = f'{command.request}/{command.attempt}'
        body = BookCall(call, budget * MS_PER_SECOND, command.content)
        book_reply = await self._post_call('/v1/book', call, body, budget, BookReply)
        return BookingResult(
            Incarnation(book_reply.incarnation),
            book_reply.leaving,
            book_reply.reference,
        )

    async def cancel(self) -> None:
        """Ask the upstream to stop the call in flight, so that it replies at once.

        Does nothing without a second connection; a failed cancel request is ignored.
        """
        if self._current_call is None or not self._can_cancel:
            return
        try:
            await self._post('/v1/cancel', {'call': self._current_call}, CANCEL_TIMEOUT)
        except UpstreamError:
            return

    async def identify(self) -> tuple[Incarnation, bool]:
        """Return the upstream's incarnation, and whether it reports draining."""
        content = await self._post('/v1/identify', {}, IDENTIFY_TIMEOUT)
        identified = _decode(content, IdentifyReply)
        return Incarnation(identified.incarnation), identified.leaving

    async def _post_call(
        self,
        path: str,
        call: str,
        body: Any,
        budget: Seconds,
        reply_type: type[CallReplyType],
    ) -> CallReplyType:
        """Post a call; at its deadline, cancel it and wait up to CANCEL_TIMEOUT.

        The seat stays in use during this wait, because the upstream may still be
        running the call in its slot.
        """
        self._current_call = call
        post_task = asyncio.ensure_future(
            self._post(path, body, Seconds(budget + CANCEL_TIMEOUT), call)
        )
        try:
            call_reply = await self._await_reply(post_task, budget, reply_type)
        finally:
            post_task.cancel()
            self._current_call = None
        await self._check_call(call_reply.call, call)
        return call_reply

    async def _await_reply(
        self,
        post_task: 'asyncio.Task[bytes]',
        budget: Seconds,
        reply_type: type[CallReplyType],
    ) -> CallReplyType:
        done, _ = await asyncio.wait((post_task,), timeout=budget)
        if not done:
            await self.cancel()
        return _decode(await post_task, reply_type)

    async def _post(
        self, path: str, body: Any, limit: Seconds, call: str | None = None
    ) -> bytes:
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=limit, sock_connect=CONNECT_TIMEOUT)
        data = msgspec.json.encode(body)
        try:
            async with self._session.post(
                self._base + path, data=data, headers=JSON_HEADERS, timeout=timeout
            ) as response:
                content = await _read_bounded(response)
                status = response.status
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise _make_error(Reason.UPSTREAM_UNREACHABLE, Outcome.NOT_RUN) from error
        except TimeoutError as error:
            raise _make_error(Reason.DEADLINE, Outcome.UNKNOWN) from error
        except aiohttp.ClientError as error:
            raise _make_error(Reason.UPSTREAM_LOST, Outcome.UNKNOWN) from error
        if status == SERVICE_UNAVAILABLE:
            refused = _decode(content, RefusalReply)
            if call is not None:
                await self._check_call(refused.call, call)
            reason = REFUSAL_REASONS.get(refused.refused, Reason.UPSTREAM_SHED)
            raise _make_error(reason, Outcome.NOT_RUN)
        if status >= 300:
            raise _make_error(Reason.UPSTREAM_FAILED, Outcome.UNKNOWN)
        return content

    async def _check_call(self, named: str, call: str) -> None:
        """Reject a reply to another call, such as a second copy of an earlier reply.

        What else arrives on the connection may belong to any call, so it is closed.
        """
        self._names_calls = self._names_calls or bool(named)
        if named == call or not self._names_calls:
            return
        if self._session is not None:
            await self._session.close()
        self._session = self._make_session()
        raise _make_error(Reason.UPSTREAM_FAILED, Outcome.UNKNOWN)

    def _make_session(self) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=self._connection_limit),
            cookie_jar=aiohttp.DummyCookieJar(),
        )


async def _read_bounded(response: aiohttp.ClientResponse) -> bytes:
    """Return the body of a reply.

    Raises:
        aiohttp.ClientPayloadError: when it is larger than any reply of an upstream.
    """
    content = bytearray()
    async for chunk in response.content.iter_any():
        content += chunk
        if len(content) > MAX_REPLY_BYTES:
            response.close()
            raise aiohttp.ClientPayloadError('the reply is too large')
    return bytes(content)


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
        return decode_json(content, reply_type)
    except UnreadableJson as error:
        raise _make_error(Reason.UPSTREAM_FAILED, Outcome.UNKNOWN) from error


def _make_error(reason: Reason, outcome: Outcome) -> UpstreamError:
    return UpstreamError(reason, outcome)
