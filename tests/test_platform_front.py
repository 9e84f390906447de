"""Answers to callers and to the load balancer, as ASGI messages."""

import asyncio
from dataclasses import dataclass, field, replace

import pytest

from rattanspoke.contracts import (
    COUNTERS,
    FLEET,
    LIFECYCLE,
    READINESS,
    REQUEST_HANDLER,
    SHARED_STATE,
    SUPERVISOR,
)
from rattanspoke.kernel import Kernel
from rattanspoke.model import (
    CallerLimits,
    DesiredState,
    Failed,
    Merged,
    Outcome,
    Reason,
    Refused,
    Rejected,
    Relayed,
    Revision,
    Seconds,
    UpstreamId,
    UpstreamReply,
)
from rattanspoke.platform import make_caller_app, make_probe_app
from rattanspoke.services import (
    HostCounters,
    HostLifecycle,
    HostReadiness,
    HostSupervisor,
)

from .sockets import end, listening

LIMITS = CallerLimits(
    header_bytes=500, body_bytes=10, header_time=Seconds(3), idle_time=Seconds(15)
)


class FakeFleet:
    """A fleet whose hosts reach each other."""

    is_isolated = False


@dataclass
class FakeState:
    """The shared state of a host, with a desired state or without one."""

    desired: DesiredState | None = field(
        default_factory=lambda: DesiredState(
            version=1, revision=Revision(1), routes=(), services={}, limits=LIMITS
        )
    )

    @property
    def is_complete(self):
        """Whether the host has the state that it needs to serve."""
        return self.desired is not None


@dataclass
class FakeRequestHandler:
    """A request handler that returns one answer, or waits forever without one."""

    answer: object = None
    requests: list = field(default_factory=list)
    was_cancelled: bool = False

    async def serve(self, request):
        """Record the request and return the answer."""
        self.requests.append(request)
        if self.answer is None:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                self.was_cancelled = True
                raise
        return self.answer


@pytest.fixture
def handler():
    """Return the request handler that the application calls."""
    return FakeRequestHandler()


@pytest.fixture
def kernel(handler):
    """Return a kernel with the services that the applications use."""
    kernel = Kernel()
    kernel.provide(COUNTERS, HostCounters())
    kernel.provide(SUPERVISOR, HostSupervisor(kernel))
    kernel.provide(LIFECYCLE, HostLifecycle())
    kernel.provide(SHARED_STATE, FakeState())
    kernel.provide(FLEET, FakeFleet())
    kernel.provide(READINESS, HostReadiness(kernel))
    kernel.provide(REQUEST_HANDLER, handler)
    return kernel


def call(app, *, path=b'/a/x', headers=(), messages=(), query=b''):
    """Return status, headers and body of one request; None when nothing was sent."""
    sent = []
    incoming = list(messages) or [{'type': 'http.request', 'body': b''}]

    async def receive():
        if incoming:
            return incoming.pop(0)
        await asyncio.Event().wait()

    async def send(message):
        sent.append(message)

    scope = {
        'type': 'http',
        'method': 'GET',
        'path': path.decode(),
        'raw_path': path,
        'query_string': query,
        'headers': [(b'host', b'Jobs.Example:80'), *headers],
    }

    async def scene():
        async with asyncio.timeout(10):
            await app(scope, receive, send)

    asyncio.run(scene())
    if not sent:
        return None
    return sent[0]['status'], dict(sent[0]['headers']), sent[1]['body']


def test_request_reaches_the_handler_unchanged(kernel, handler):
    """Path and query are kept byte for byte; the host name loses case and port."""
    handler.answer = Rejected(Reason.UNKNOWN_ROUTE)
    status, _, _ = call(
        make_caller_app(kernel),
        path=b'/a%20b/',
        query=b'q=%41',
        headers=[
            (b'rattanspoke-attempt-id', b'a-1'),
            (b'rattanspoke-time-budget', b'1500'),
        ],
    )
    [request] = handler.requests
    assert status == 404
    assert request.target == '/a%20b/?q=%41'
    assert request.path == '/a%20b/'
    assert request.authority == 'jobs.example'
    assert request.attempt == 'a-1'
    assert request.deadline - request.arrived == pytest.approx(1.5)


def test_merged_answer_names_its_parts(kernel, handler):
    """It has the seals of the covered shards and the number of missing ones."""
    handler.answer = Merged(seals=('s.1', 's.2'), missing=1, body=b'records')
    status, headers, body = call(make_caller_app(kernel))
    assert status == 200
    assert headers[b'rattanspoke-part-stamps'] == b's.1, s.2'
    assert headers[b'rattanspoke-missing-parts'] == b'1'
    assert headers[b'content-length'] == b'7'
    assert body == b'records'


def test_upstream_response_is_relayed(kernel, handler):
    """Status, body and end-to-end headers are relayed, hop-by-hop headers dropped."""
    handler.answer = Relayed(
        UpstreamReply(
            upstream=UpstreamId('i-1'),
            status=500,
            headers=((b'x-kept', b'1'), (b'keep-alive', b'timeout=5')),
            body=b'broken',
            outcome=Outcome.RAN,
        )
    )
    status, headers, body = call(make_caller_app(kernel))
    assert (status, body) == (500, b'broken')
    assert headers[b'x-kept'] == b'1'
    assert b'keep-alive' not in headers


@pytest.mark.parametrize(
    ('answer', 'status', 'has_retry_after'),
    [
        (Refused(Reason.OVERLOADED, Seconds(0.25)), 503, True),
        (Failed(Reason.REPLY_BROKEN), 502, False),
        (Failed(Reason.DEADLINE), 504, False),
    ],
)
def test_only_a_refusal_carries_retry_after(
    kernel, handler, answer, status, has_retry_after
):
    """Retry-After, in fractions of a second, states that the request did not run.

    A failed request may have run, so its answer must not have the header.
    """
    handler.answer = answer
    got, headers, _ = call(make_caller_app(kernel))
    assert got == status
    assert (b'retry-after' in headers) == has_retry_after
    if has_retry_after:
        assert headers[b'retry-after'] == b'0.250'


@pytest.mark.parametrize(
    ('headers', 'messages', 'status'),
    [
        ([(b'x-long', b'x' * 600)], (), 431),
        ([(b'content-length', b'11')], (), 413),
        (
            [],
            [
                {'type': 'http.request', 'body': b'x' * 6, 'more_body': True},
                {'type': 'http.request', 'body': b'x' * 6},
            ],
            413,
        ),
        ([(b'rattanspoke-time-budget', b'soon')], (), 400),
        ([(b'rattanspoke-time-budget', b'nan')], (), 400),
        ([(b'rattanspoke-time-budget', b'inf')], (), 400),
        ([(b'rattanspoke-time-budget', b'-1')], (), 400),
        (
            [(b'rattanspoke-time-budget', b'50')],
            [{'type': 'http.request', 'body': b'x', 'more_body': True}],
            408,
        ),
    ],
)
def test_invalid_or_oversized_request_is_rejected(
    kernel, handler, headers, messages, status
):
    """Each fault has its own status, and the request handler is not called."""
    got, _, _ = call(make_caller_app(kernel), headers=headers, messages=messages)
    assert got == status
    assert not handler.requests


def test_disconnecting_caller_cancels_its_request(kernel, handler):
    """Its request handler is cancelled, and no answer is written."""
    messages = [{'type': 'http.request', 'body': b''}, {'type': 'http.disconnect'}]
    assert call(make_caller_app(kernel), messages=messages) is None
    assert handler.was_cancelled


def test_stopping_host_closes_caller_connections(kernel, handler):
    """It still answers requests, with Connection: close."""
    handler.answer = Merged(seals=('s',), missing=0, body=b'')
    kernel.find(LIFECYCLE).leave()
    status, headers, _ = call(make_caller_app(kernel))
    assert status == 200
    assert headers[b'connection'] == b'close'


def test_readiness_follows_state_and_shutdown(kernel):
    """A host is ready from the time its state is complete until shutdown begins."""
    app = make_probe_app(kernel, lambda _: 'metrics')
    assert call(app, path=b'/-/readiness')[0] == 200
    kernel.find(SHARED_STATE).desired = None
    assert call(app, path=b'/-/readiness')[0] == 503
    kernel.find(SHARED_STATE).desired = FakeState().desired
    kernel.find(LIFECYCLE).leave()
    assert call(app, path=b'/-/readiness')[0] == 503
    assert call(app, path=b'/metrics')[2] == b'metrics'


OFFER = (
    b'Connection: Upgrade, HTTP2-Settings\r\n'
    b'Upgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA\r\n'
)


def write_request(target, body=b'', headers=b'', method=b'POST'):
    """Return the bytes of a request with a Content-Length."""
    return b'%b %b HTTP/1.1\r\nHost: a.example\r\n%bContent-Length: %d\r\n\r\n%b' % (
        method,
        target,
        headers,
        len(body),
        body,
    )


def send_bytes(kernel, *pieces, answers=1):
    """Send pieces of bytes on one connection; return the statuses of the answers.

    Args:
        answers: number of answers after which to stop reading.
    """

    state = kernel.find(SHARED_STATE)
    limits = replace(LIMITS, body_bytes=1000)
    state.desired = replace(state.desired, limits=limits)

    async def scene():
        async with listening(make_caller_app(kernel), limits) as address:
            reader, writer = await asyncio.open_connection(*address)
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0.02)  # so that it arrives separately
            content = b''
            async with asyncio.timeout(10):
                while content.count(b'HTTP/1.1 ') < answers:
                    content += await reader.read(4096)
            await end(writer)
            return [int(each[:3]) for each in content.split(b'HTTP/1.1 ')[1:]]

    return asyncio.run(scene())


@pytest.mark.parametrize('is_split', [False, True])
def test_offer_of_another_protocol_leaves_the_body_alone(kernel, handler, is_split):
    """The request is served as it is, and its body is not run as a request.

    The parser stops at the head of such a request. Its body was once lost, and parsed
    as the next request on the connection.
    """
    handler.answer = Refused(Reason.OVERLOADED, Seconds(1))
    inner = b'GET /inside HTTP/1.1\r\nHost: a.example\r\n\r\n'
    offering = write_request(b'/one/1', inner, OFFER)
    pieces = [offering[: -len(inner)], inner] if is_split else [offering]
    statuses = send_bytes(
        kernel, *pieces, offering + write_request(b'/one/2', inner), answers=3
    )
    assert statuses == [503] * 3
    assert [each.body for each in handler.requests] == [inner] * 3
    names = {name for name, _ in handler.requests[0].headers}
    assert not names & {b'upgrade', b'http2-settings'}


def test_many_offers_in_one_piece_are_served(kernel, handler):
    """Each of them makes the parser stop, and the next one goes on behind it."""
    handler.answer = Refused(Reason.OVERLOADED, Seconds(1))
    statuses = send_bytes(
        kernel, write_request(b'/one/1', b'x', OFFER) * 200, answers=200
    )
    assert statuses == [503] * 200


def test_offer_after_which_the_caller_closes_ends_the_connection(kernel, handler):
    """Connection options beside the offer still hold."""
    handler.answer = Refused(Reason.OVERLOADED, Seconds(1))
    offer = b'Connection: close, Upgrade\r\nUpgrade: h2c\r\n'
    request = write_request(b'/one/1', b'x', offer)
    assert send_bytes(kernel, request * 2) == [503]


def test_tunnel_is_rejected(kernel, handler):
    """What follows CONNECT is for a tunnel and must not be parsed as requests."""
    request = b'CONNECT a.example:80 HTTP/1.1\r\nHost: a.example\r\n\r\n'
    assert send_bytes(kernel, request + write_request(b'/one/1')) == [400]
    assert not handler.requests


def test_trailer_does_not_become_a_header(kernel, handler):
    """A field after a chunked body is not a header of the request."""
    handler.answer = Refused(Reason.OVERLOADED, Seconds(1))
    request = (
        b'POST /one/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n'
        b'\r\n1\r\nx\r\n0\r\nRattanspoke-Attempt-Id: other\r\n\r\n'
    )
    assert send_bytes(kernel, request) == [503]
    [served] = handler.requests
    assert served.attempt == ''
    assert not [name for name, _ in served.headers if b'rattanspoke' in name]


@pytest.mark.parametrize(
    ('sent', 'target'),
    [
        (b'/one/1?', '/one/1?'),
        (b'/one/1??', '/one/1??'),
        (b'/one/1', '/one/1'),
        (b'/one/%2F?a=%20&b', '/one/%2F?a=%20&b'),
        (b'http://a.example/one/1?a', '/one/1?a'),
    ],
)
def test_target_is_kept_byte_for_byte(kernel, handler, sent, target):
    """An empty query keeps its question mark."""
    handler.answer = Refused(Reason.OVERLOADED, Seconds(1))
    assert send_bytes(kernel, write_request(sent)) == [503]
    assert [each.target for each in handler.requests] == [target]
