"""The platform's HTTP clients over real sockets on the loopback interface."""

import asyncio
import socket
import struct
from collections import deque
from datetime import UTC, datetime, timedelta
from email.utils import format_datetime

import pytest

from rattanspoke.model import (
    NO_REVISION,
    CallerRequest,
    Outcome,
    PlatformConflict,
    PlatformHistoryGone,
    PlatformReplyLost,
    PlatformUnavailable,
    Reason,
    RequestId,
    Seconds,
    UpstreamError,
    UpstreamId,
)
from rattanspoke.platform import HttpStore, HttpUpstreamConnector
from rattanspoke.services import HostCounters

LIMIT = Seconds(5)  # for calls that succeed well within it
SHORT = Seconds(0.05)  # for calls that are meant to time out
UPSTREAM = UpstreamId('i-1')
ID_HEADER = b'\r\nRattanspoke-Attempt-Id: a-\xe9'


class ScriptedServer:
    """A server that answers each request with the next of the given byte strings.

    None resets the connection instead; after bytes that end in `CLOSE`, the server
    closes the connection in order.
    """

    CLOSE = b'\0close'

    def __init__(self, *responses):
        self.responses = deque(responses)
        self.requests = []
        self.connections = 0
        self._server = None
        self._writers = []
        self.address = ''

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return self

    async def __aexit__(self, *error):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0)  # until the transports have closed their sockets

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        self.connections += 1
        while True:
            try:
                head = await reader.readuntil(b'\r\n\r\n')
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            length = [
                int(line.split(b':')[1])
                for line in head.split(b'\r\n')
                if line.lower().startswith(b'content-length')
            ]
            body = await reader.readexactly(length[0]) if length else b''
            self.requests.append((head, body))
            response = self.responses.popleft()
            if response is None:
                reset(writer)
                return
            writer.write(response.removesuffix(self.CLOSE))
            if response.endswith(self.CLOSE):
                writer.close()
                return


def reset(writer):
    """End a connection with a TCP reset instead of an orderly close."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    writer.transport.abort()


def make_response(body=b'', status='200 OK', **headers):
    """Return the bytes of a response with a Content-Length."""
    lines = [f'HTTP/1.1 {status}', f'Content-Length: {len(body)}']
    lines += [f'{name.replace("_", "-")}: {value}' for name, value in headers.items()]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def make_request(method='GET', body=b'', headers=(), attempt='a-1'):
    """Return a caller's request."""
    return CallerRequest(
        attempt=RequestId(attempt),
        method=method,
        target='/one/x%20y?q=1&r',
        authority='jobs.example',
        headers=(
            (b'host', b'jobs.example'),
            (b'rattanspoke-attempt-id', attempt.encode()),
            *headers,
        ),
        body=body,
        deadline=Seconds(0),
        arrived=Seconds(0),
    )


async def exchange(script, *requests, budget=LIMIT):
    """Send requests on one connection and return the replies or errors."""
    outcomes = []
    async with await HttpUpstreamConnector().open(script.address, LIMIT) as connection:
        for request in requests:
            try:
                reply = await connection.exchange(request, UPSTREAM, budget)
            except UpstreamError as error:
                outcomes.append(error)
            else:
                outcomes.append(
                    (reply, connection.is_reusable, connection.keep_alive_timeout)
                )
    return outcomes


def test_request_is_forwarded_unchanged():
    """Method, path, query, body and end-to-end headers arrive as they were sent.

    Hop-by-hop headers are dropped; time budget and target are the host's own.
    """

    async def scene():
        async with ScriptedServer(
            make_response(b'done', Rattanspoke_Server_Seal='s.1')
        ) as script:
            request = make_request(
                'POST',
                b'body',
                (
                    (b'x-kept', b'1'),
                    (b'connection', b'keep-alive'),
                    (b'rattanspoke-time-budget', b'99999'),
                    (b'rattanspoke-target-instance', b'other'),
                    (b'accept-encoding', b'gzip'),
                ),
            )
            [(reply, _, _)] = await exchange(script, request, budget=Seconds(1.5))
            [(head, body)] = script.requests
            lines = head.split(b'\r\n')
            assert lines[0] == b'POST /one/x%20y?q=1&r HTTP/1.1'
            assert body == b'body'
            assert b'x-kept: 1' in lines
            assert b'Rattanspoke-Time-Budget: 1500' in lines
            assert b'Rattanspoke-Target-Instance: i-1' in lines
            lowered = head.lower()
            assert lowered.count(b'rattanspoke-time-budget') == 1
            assert lowered.count(b'rattanspoke-target-instance') == 1
            assert b'connection:' not in lowered
            assert b'accept-encoding: identity' in lowered
            assert b'gzip' not in lowered
            assert reply.is_success
            assert reply.seal == 's.1'
            assert reply.body == b'done'

    asyncio.run(scene())


@pytest.mark.parametrize(
    ('sent', 'outcome'),
    [
        (
            make_response(status='503 Full', Rattanspoke_Not_Executed='1'),
            Outcome.NOT_RUN,
        ),
        (make_response(status='421 Misdirected Request'), Outcome.NOT_RUN),
        (make_response(status='503 Full'), Outcome.RAN),
        (make_response(status='500 Broken', Rattanspoke_Server_Seal='s'), Outcome.RAN),
    ],
)
def test_only_status_or_header_proves_not_run(sent, outcome):
    """A reply counts as not run only with status 421 or the not-executed header."""

    async def scene():
        async with ScriptedServer(sent) as script:
            [(reply, _, _)] = await exchange(script, make_request())
            assert reply.outcome is outcome
            assert not reply.is_success

    asyncio.run(scene())


@pytest.mark.parametrize(
    'sent',
    [
        None,
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf' + ScriptedServer.CLOSE,
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf'
        + ScriptedServer.CLOSE,
        b'neither HTTP nor anything\r\n\r\n',
        make_response(b'packed', Content_Encoding='gzip'),
        ScriptedServer.CLOSE,
    ],
)
def test_broken_responses_have_unknown_outcome(sent):
    """After an incomplete, malformed or altered response, the request may have run."""

    async def scene():
        async with ScriptedServer(sent) as script:
            [error] = await exchange(script, make_request())
            assert error.outcome is Outcome.UNKNOWN
            assert error.reason is Reason.REPLY_BROKEN

    asyncio.run(scene())


def test_response_without_length_ends_at_close():
    """An orderly close completes it, and the connection is not used again."""

    async def scene():
        sent = b'HTTP/1.1 200 OK\r\nRattanspoke-Server-Seal: s\r\n\r\nall of it'
        async with ScriptedServer(sent + ScriptedServer.CLOSE) as script:
            [(reply, is_reusable, _)] = await exchange(script, make_request())
            assert reply.body == b'all of it'
            assert not is_reusable

    asyncio.run(scene())


def test_reset_response_without_length_is_incomplete():
    """A reset cuts the body short, so the response must not count as complete."""
    was_reset = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\n\r\nhalf')
        await writer.drain()
        await asyncio.sleep(
            0.05
        )  # lets the client read the first bytes before the reset
        reset(writer)
        was_reset.set()

    async def scene():
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        async with await HttpUpstreamConnector().open(
            f'{host}:{port}', LIMIT
        ) as connection:
            exchange_task = asyncio.ensure_future(
                connection.exchange(make_request(), UPSTREAM, LIMIT)
            )
            await was_reset.wait()
            with pytest.raises(UpstreamError) as caught:
                await exchange_task
        assert caught.value.outcome is Outcome.UNKNOWN
        server.close()

    asyncio.run(scene())


def test_late_response_to_another_request_is_dropped():
    """A response with another attempt id is dropped and the next one is returned."""

    async def scene():
        late = make_response(b'late', Rattanspoke_Attempt_Id='a-0')
        right = make_response(b'right', Rattanspoke_Attempt_Id='a-1')
        async with ScriptedServer(late + right) as script:
            [(reply, is_reusable, _)] = await exchange(script, make_request())
            assert reply.body == b'right'
            assert not is_reusable

    asyncio.run(scene())


def test_late_response_is_not_the_one_to_a_head_request():
    """The second copy of an earlier response, with its body, is dropped.

    A response to HEAD was once taken to be complete before its attempt id was read.
    """

    async def scene():
        first = make_response(b'one', Rattanspoke_Attempt_Id='a-0')
        own = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\nRattanspoke-Attempt-Id: a-1\r\n'
        async with ScriptedServer(first, first + own + b'\r\n') as script:
            outcomes = await exchange(
                script, make_request(attempt='a-0'), make_request('HEAD')
            )
            reply, is_reusable, _ = outcomes[1]
            assert (b'rattanspoke-attempt-id', b'a-1') in reply.headers
            assert not is_reusable

    asyncio.run(scene())


@pytest.mark.parametrize('method', ['GET', 'HEAD'])
def test_response_without_id_after_one_with_it_proves_nothing(method):
    """A refusal that lost its attempt id may be a copy of one to another request."""

    async def scene():
        first = make_response(Rattanspoke_Attempt_Id='a-0')
        refusal = make_response(status='503 Full', Rattanspoke_Not_Executed='1')
        async with ScriptedServer(first, refusal) as script:
            outcomes = await exchange(
                script, make_request(attempt='a-0'), make_request(method)
            )
            assert outcomes[1].outcome is Outcome.UNKNOWN

    asyncio.run(scene())


def test_attempt_id_outside_ascii_is_recognised():
    """The id is compared byte by byte as the caller sent it."""

    async def scene():
        sent = make_response(b'right').replace(b'\r\n\r\n', ID_HEADER + b'\r\n\r\n', 1)
        async with ScriptedServer(sent) as script:
            [(reply, _, _)] = await exchange(script, make_request(attempt='a-\xe9'))
            assert reply.body == b'right'

    asyncio.run(scene())


@pytest.mark.parametrize(
    ('value', 'quiet_time'),
    [
        ('3', 3),
        ('0.25', 0.25),
        ('0', None),
        ('0.0', None),
        ('-1', None),
        ('nan', None),
        ('inf', None),
        ('1e3', None),
        ('soon', None),
        ('', None),
        ('3, 4', None),
        ('9' * 15, 10**15 - 1),
        ('9' * 400, None),
        ('Wed, 21 Oct 2015 07:28:00 GMT', None),
        ('Wed, 21 Oct 99999 07:28:00 GMT', None),
    ],
)
def test_quiet_time_is_read_from_retry_after(value, quiet_time):
    """It holds seconds or a date; anything else, or a time in the past, asks for none.

    It is addressed to this host and is not forwarded.
    """

    async def scene():
        refusal = make_response(status='503 Full', Retry_After=value)
        async with ScriptedServer(refusal) as script:
            [(reply, _, _)] = await exchange(script, make_request())
            assert reply.quiet_time == quiet_time
            assert b'retry-after' not in dict(reply.headers)

    asyncio.run(scene())


def test_quiet_time_may_be_a_date():
    """A date in the future is converted to the seconds until then."""

    async def scene():
        moment = datetime.now(UTC) + timedelta(days=365)
        value = format_datetime(moment, usegmt=True)
        refusal = make_response(status='503 Full', Retry_After=value)
        async with ScriptedServer(refusal) as script:
            [(reply, _, _)] = await exchange(script, make_request())
            assert reply.quiet_time > timedelta(days=364).total_seconds()

    asyncio.run(scene())


@pytest.mark.parametrize('status', ['200 OK', '429 Later', '500 Failed'])
def test_only_status_503_asks_for_quiet(status):
    """Other replies may have the header for reasons of their own."""

    async def scene():
        async with ScriptedServer(
            make_response(status=status, Retry_After=3)
        ) as script:
            [(reply, _, _)] = await exchange(script, make_request())
            assert reply.quiet_time is None

    asyncio.run(scene())


@pytest.mark.parametrize('status', ['200 OK', '404 Missing', '500 Failed', '503 Full'])
def test_any_reply_may_announce_that_the_upstream_leaves(status):
    """The announcement is addressed to this host and is not forwarded."""

    async def scene():
        kept = make_response(status=status, Server_Leaving=0)
        leaving = make_response(status=status, Server_Leaving=1)
        async with ScriptedServer(kept, leaving) as script:
            outcomes = await exchange(script, make_request(), make_request())
            assert [reply.is_leaving for reply, _, _ in outcomes] == [False, True]
            assert b'server-leaving' not in dict(outcomes[1][0].headers)

    asyncio.run(scene())


def test_extra_bytes_make_the_connection_unusable():
    """Bytes after a complete response could be taken for the next one.

    No request is sent on such a connection.
    """

    async def scene():
        async with ScriptedServer(
            make_response(b'one') + make_response(b'extra')
        ) as script:
            outcomes = await exchange(script, make_request(), make_request())
            assert outcomes[0][0].body == b'one'
            assert outcomes[1].outcome is Outcome.NOT_RUN
            assert len(script.requests) == 1

    asyncio.run(scene())


def test_interim_response_is_skipped():
    """A 1xx response precedes the final response and is not returned."""

    async def scene():
        sent = b'HTTP/1.1 103 Early Hints\r\n\r\n' + make_response(b'final')
        async with ScriptedServer(sent) as script:
            [(reply, is_reusable, _)] = await exchange(script, make_request())
            assert reply.body == b'final'
            assert is_reusable

    asyncio.run(scene())


def test_connection_reuse_follows_response_headers():
    """Keep-Alive gives the idle timeout; Connection: close rules out reuse."""

    async def scene():
        kept = make_response(Keep_Alive='timeout=7, max=9')
        last = make_response(Connection='close')
        async with ScriptedServer(kept, last) as script:
            first, second = await exchange(script, make_request(), make_request())
            assert first[1:] == (True, 7)
            assert second[1] is False

    asyncio.run(scene())


def test_timeout_has_unknown_outcome():
    """A request without a response within the budget may have run."""

    async def scene():
        async with ScriptedServer(b'') as script:
            [error] = await exchange(script, make_request(), budget=SHORT)
            assert error.reason is Reason.DEADLINE
            assert error.outcome is Outcome.UNKNOWN

    asyncio.run(scene())


def test_refused_connection_has_outcome_not_run():
    """No request was sent when the connection was refused."""

    async def scene():
        async with ScriptedServer() as script:
            address = script.address
        with pytest.raises(UpstreamError) as caught:
            await HttpUpstreamConnector().open(address, LIMIT)
        assert caught.value.outcome is Outcome.NOT_RUN

    asyncio.run(scene())


async def call_store(script, call):
    """Make one call with a new client of the store and return its result."""
    async with HttpStore(script.address, HostCounters()) as store:
        return await call(store)


def test_listing_reads_every_page():
    """All pages are read on one connection, and the first page's revision holds."""

    async def scene():
        first = b'{"items":[{"meta":{"name":"a","revision":3},"spec":{"x":1}}],'
        second = b'{"items":[{"meta":{"name":"b","revision":4}}],"asOf":9}'
        async with ScriptedServer(
            make_response(first + b'"more":true,"asOf":7}'), make_response(second)
        ) as script:
            listing = await call_store(
                script, lambda store: store.list_kind('registrations')
            )
            assert listing.revision == 7
            assert [each.name for each in listing.objects] == ['a', 'b']
            assert listing.objects[0].content == b'{"x":1}'
            paths = [head.split()[1] for head, _ in script.requests]
            assert paths == [b'/-/objects/servers', b'/-/objects/servers?after=a']
            assert script.connections == 1

    asyncio.run(scene())


def test_watch_returns_changes_and_deletions():
    """A deleted object is returned without content, a changed one with it."""

    async def scene():
        content = (
            b'{"events":[{"object":{"meta":{"name":"a","revision":3},"spec":{}},'
            b'"deleted":true},{"object":{"meta":{"name":"b","revision":4},'
            b'"spec":{}},"deleted":false}],"asOf":5}'
        )
        async with ScriptedServer(make_response(content)) as script:
            changes = await call_store(
                script, lambda store: store.watch_kind('hosts', 2, Seconds(1.5))
            )
            assert changes.revision == 5
            assert [each.content for each in changes.objects] == [None, b'{}']
            [(head, _)] = script.requests
            assert head.split()[1] == b'/-/objects/hosts?watch=2&waitMs=1500'

    asyncio.run(scene())


@pytest.mark.parametrize(
    ('sent', 'error'),
    [
        (make_response(status='410 Gone'), PlatformHistoryGone),
        (make_response(status='429 Too Many'), PlatformUnavailable),
        (make_response(status='503 Down'), PlatformUnavailable),
        (make_response(b'{"items": 3'), PlatformUnavailable),
        (None, PlatformUnavailable),
    ],
)
def test_failed_read_raises_the_matching_error(sent, error):
    """History that the store dropped is distinguished from a failed call.

    The watcher lists the kind again in the first case, and retries in the second.
    """

    async def scene():
        async with ScriptedServer(sent) as script:
            with pytest.raises(error):
                await call_store(
                    script, lambda store: store.watch_kind('hosts', 2, Seconds(0))
                )

    asyncio.run(scene())


@pytest.mark.parametrize(
    ('sent', 'error'),
    [
        (make_response(status='409 Conflict'), PlatformConflict),
        (make_response(status='503 Down'), PlatformUnavailable),
        (make_response(status='429 Too Many'), PlatformUnavailable),
        (make_response(status='500 Broken'), PlatformReplyLost),
        (make_response(status='504 Timeout'), PlatformReplyLost),
        (make_response(b'{"meta": '), PlatformReplyLost),
        (None, PlatformReplyLost),
    ],
)
def test_failed_write_tells_whether_it_may_have_taken_effect(sent, error):
    """A lost reply is distinguished from a refusal, and no write is sent twice."""

    async def scene():
        async with ScriptedServer(sent) as script:
            with pytest.raises(error):
                await call_store(
                    script,
                    lambda store: store.write('hosts', 'a', b'{}', NO_REVISION),
                )
            assert len(script.requests) == 1

    asyncio.run(scene())
