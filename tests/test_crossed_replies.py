"""Replies that arrive twice, late or at a stop: each caller gets its own, whole."""

import asyncio
import json

import pytest
import uvicorn

from rattanspoke._listening import (
    DEFAULT_LIMITS,
    EmbeddedServer,
    make_bounded_protocol,
)
from rattanspoke.model import (
    Outcome,
    Relayed,
    Seconds,
    ServiceId,
    UpstreamError,
    UpstreamId,
    UpstreamRecord,
    ZoneId,
)
from rattanspoke.transports import HttpUpstreamClient

from .edges import SETTLE_SECONDS, Edge, build_route
from .sockets import end, serving

LIMIT = Seconds(5)


def write_reply(call, incarnation, status='200 OK', **fields):
    """Return the bytes of an upstream's reply to a call."""
    body = {'call': call, 'incarnation': incarnation, 'leaving': False, 'parts': []}
    content = json.dumps(body | fields).encode()
    head = f'HTTP/1.1 {status}\r\nContent-Length: {len(content)}\r\n\r\n'
    return head.encode() + content


REFUSAL = '503 Service Unavailable'
CASES = {
    'second copy of a result': write_reply('c1', 'first'),
    'second copy without the call': write_reply('', 'first'),
    'second copy of a refusal': write_reply('c1', '', REFUSAL, refused='shed'),
}


@pytest.mark.parametrize('copy', CASES.values(), ids=CASES.keys())
def test_second_copy_is_not_the_reply_to_the_next_call(copy):
    """It arrives when the next call was sent; that one has an unknown outcome.

    The connection is replaced, so the call after it gets its own reply.
    """

    async def serve(reader, writer):
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            length = int(head.lower().split(b'content-length:')[1].split()[0])
            call = json.loads(await reader.readexactly(length))['call']
            if call == 'c2':
                writer.write(copy)
            writer.write(write_reply(call, f'for {call}'))

    async def scene():
        async with serving(serve) as address:
            record = UpstreamRecord(
                upstream=UpstreamId('u'),
                service=ServiceId('s'),
                zone=ZoneId('z'),
                address=address,
                slots=1,
                connections=1,
            )
            async with HttpUpstreamClient().open(record) as connection:
                first = await connection.search('c1', [], LIMIT)
                assert first.incarnation == 'for c1'
                with pytest.raises(UpstreamError) as raised:
                    await connection.search('c2', [], LIMIT)
                assert raised.value.outcome is Outcome.UNKNOWN
                third = await connection.search('c3', [], LIMIT)
                assert third.incarnation == 'for c3'

    asyncio.run(scene())


def test_planned_stop_answers_what_was_accepted():
    """Requests that a host has just received when it stops get their whole answers."""

    async def answer(scope, receive, send):
        await asyncio.sleep(0.2)
        await send({'type': 'http.response.start', 'status': 200, 'headers': []})
        await send({'type': 'http.response.body', 'body': b'x' * 100_000})

    async def ask(address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        content = await reader.read()
        await end(writer)
        return content

    async def scene():
        config = uvicorn.Config(
            answer,
            host='127.0.0.1',
            port=0,
            http=make_bounded_protocol(lambda: DEFAULT_LIMITS),
            lifespan='off',
            log_config=None,
        )
        async with EmbeddedServer(config) as server:
            while not server.started:
                await asyncio.sleep(0.01)
            address = server.servers[0].sockets[0].getsockname()
            asking = [asyncio.ensure_future(ask(address)) for _ in range(100)]
            while len(server.server_state.connections) < len(asking):
                await asyncio.sleep(0)
            server.stop()
            answers = await asyncio.gather(*asking)
        assert all(each.endswith(b'0\r\n\r\n') for each in answers)
        assert all(each.count(b'x') >= 100_000 for each in answers)

    asyncio.run(scene())


@pytest.mark.parametrize('route_type', ['idempotent', 'non_idempotent'])
def test_running_request_stays_with_an_upstream_that_is_silent(run, route_type):
    """Its registration expires while it works: the work is not lost or repeated."""

    async def scene():
        async with Edge(hosts=1) as edge:
            edge.add_service('jobs', work=1)
            route = build_route('jobs', routeType=route_type, targetLatencyMs=9000)
            edge.configure(route | {'timeoutMs': 9000})
            await asyncio.sleep(SETTLE_SECONDS)
            asking = asyncio.ensure_future(edge.ask('host-0', limit=9))
            await asyncio.sleep(0.3)
            upstreams = edge.by_service['jobs']
            busy = next(each for each in upstreams if each.arrivals)
            edge.store.put('registrations', busy.name, None)
            answer = await asking
            assert isinstance(answer, Relayed)
            assert answer.reply.upstream == busy.name
            assert sum(len(each.arrivals) for each in upstreams) == 1

    run(scene())
