"""Measure the slopes that docs/CAPACITY.md is worked out from.

Run: python -m tools.measure_slopes. Each row is processor time, bytes or memory for one
unit of work. Both ends of a link run in this process, so a row for a link is the sum of
both sides.
"""

import asyncio
import gc
import time
import tracemalloc
from dataclasses import replace

import aiohttp
import msgspec

from rattanspoke.contracts import Bundle, Parcel
from rattanspoke.decisions import Membership, assign_shards, choose_version
from rattanspoke.model import (
    CallId,
    DocumentId,
    Fingerprint,
    Heartbeat,
    Hit,
    HostId,
    Incarnation,
    IndexRecord,
    IndexVersion,
    OrganisationId,
    Outcome,
    RequestId,
    Revision,
    SeatsRecord,
    Seconds,
    ServiceId,
    ShardId,
    ShardMap,
    StoredObject,
    SubReply,
    SubRequest,
    UpstreamId,
    UpstreamRecord,
    ZoneId,
)
from rattanspoke.peering import (
    GrpcTransport,
    decode_bundle,
    encode_bundle,
    parse_bundle,
)
from rattanspoke.standins import HttpServer, Scenario, UpstreamServer, build_environment
from rattanspoke.transports import (
    HttpUpstreamClient,
    RecordCodec,
)

MICROSECONDS = 1e6
ZONE = ZoneId('zone-a')


def make_request(number: int, shards: int = 1) -> SubRequest:
    """Return a sub-request of a usual size."""
    return SubRequest(
        request=RequestId(f'{number:032x}'),
        attempt=1,
        upstream=UpstreamId('jobs-zone-a-0'),
        service=ServiceId('jobs'),
        version=IndexVersion(7),
        shards=tuple(ShardId(f's{each:04d}') for each in range(shards)),
        query='polish glass',
        limit=10,
        organisation=OrganisationId('halvorsen'),
        fingerprint=Fingerprint('0' * 32),
        budget=Seconds(0.25),
    )


def make_reply(number: int, hits: int = 10) -> SubReply:
    """Return a reply of a usual size."""
    return SubReply(
        request=RequestId(f'{number:032x}'),
        attempt=1,
        upstream=UpstreamId('jobs-zone-a-0'),
        outcome=Outcome.RAN,
        version=IndexVersion(7),
        shards=(ShardId('s0001'),),
        hits=tuple(
            Hit(DocumentId(f'jobs-{each:06d}'), 0.5, 'deli polish glass pier')
            for each in range(hits)
        ),
    )


def make_bundle(messages) -> Bundle:
    """Return a bundle of messages."""
    parcels = tuple(
        Parcel(CallId(number), message, is_reply=False)
        for number, message in enumerate(messages)
    )
    return Bundle(HostId('10.0.0.1:8101'), Incarnation('a' * 16), 1, parcels)


def show(name: str, amount: float, unit: str) -> None:
    """Print one row."""
    print(f'{name:<58} {amount:>10.2f} {unit}')


def measure_codec() -> None:
    """Measure encoding and decoding of full bundles."""
    for name, messages in (
        ('sub-request', [make_request(number) for number in range(64)]),
        ('sub-reply with 10 hits', [make_reply(number) for number in range(64)]),
        ('sub-reply with 1 hit', [make_reply(number, 1) for number in range(64)]),
    ):
        bundle = make_bundle(messages)
        began = time.process_time()
        for _ in range(200):
            content = encode_bundle(bundle).SerializeToString()
        encoded = time.process_time()
        for _ in range(200):
            decode_bundle(parse_bundle(content))
        decoded = time.process_time()
        show(f'{name}: size in a bundle of 64', len(content) / 64, 'bytes')
        show(f'{name}: encode', (encoded - began) / 200 / 64 * MICROSECONDS, 'us')
        show(f'{name}: decode', (decoded - encoded) / 200 / 64 * MICROSECONDS, 'us')


async def measure_stream() -> None:
    """Measure whole bundles over a gRPC stream, there and back, both ends."""
    server = GrpcTransport(HostId('127.0.0.1:9481'))

    async def echo(channel):
        async for bundle in channel.receive():
            await channel.send(bundle)

    server.accept_with(echo)
    async with server:
        channel = await GrpcTransport(HostId('127.0.0.1:9482')).open(
            HostId('127.0.0.1:9481')
        )
        replies = channel.receive()
        for size, rounds in ((1, 1000), (8, 500), (64, 200), (256, 60)):
            bundle = make_bundle([make_request(number) for number in range(size)])
            began = time.process_time()
            for _ in range(rounds):
                await channel.send(bundle)
                await anext(replies)
            spent = (time.process_time() - began) / rounds / size / 2
            show(
                f'stream: one item one way, both ends, bundles of {size}',
                spent * MICROSECONDS,
                'us',
            )
        await channel.close()


async def measure_upstream() -> None:
    """Measure a sub-request through the seat's connection against the bare client."""
    environment = build_environment(
        Scenario(
            zones=1,
            upstreams=1,
            booking_upstreams=0,
            shards=1,
            replicas=1,
            documents=20,
        )
    )
    upstream = next(iter(environment.upstreams.values()))
    upstream.become_warm()
    upstream.behaviour.median_latency = 0
    record = upstream.record
    url = f'http://{record.address}/v1/search'
    body = msgspec.json.encode(
        {
            'call': 'c',
            'deadline_ms': 1000,
            'parts': [
                {'version': 1, 'shards': ['s000'], 'query': 'glass', 'limit': 10}
            ],
        }
    )
    part = replace(make_request(1), version=IndexVersion(1), shards=(ShardId('s000'),))
    server: HttpServer = UpstreamServer(upstream).serve()
    async with server, aiohttp.ClientSession() as session:

        async def bare():
            async with session.post(url, data=body) as response:
                msgspec.json.decode(await response.read())

        async with HttpUpstreamClient().open(record) as connection:

            async def seated():
                await connection.search('c', [part], Seconds(1))

            rows = {}
            for _ in range(3):
                for name, call in (('bare client', bare), ('seat', seated)):
                    await call()
                    began = time.process_time()
                    for _ in range(400):
                        await call()
                    spent = (time.process_time() - began) / 400 * MICROSECONDS
                    rows[name] = min(rows.get(name, spent), spent)
    for name, spent in rows.items():
        show(f'upstream call, {name}, with the stand-in server', spent, 'us')
    show('upstream call, seat to bare client', rows['seat'] / rows['bare client'], 'x')


def measure_heartbeats() -> None:
    """Measure the size and the cost of heartbeats."""
    heartbeat = Heartbeat(
        incarnation=Incarnation('a' * 16), zone=ZONE, watermark=Revision(10**6)
    )
    bundle = make_bundle([heartbeat])
    content = encode_bundle(bundle).SerializeToString()
    show('heartbeat: size of its bundle', len(content), 'bytes')
    view = Membership(HostId('me'), ZONE)
    for number in range(68):
        host = HostId(f'h{number}')
        view.note_heartbeat(host, ZONE, Incarnation('a'), Seconds(0), leaving=False)
    began = time.process_time()
    for _ in range(100):
        for host in view.list_known_hosts():
            view.judge(host, Seconds(1))
    spent = (time.process_time() - began) / 100 / 68
    show('membership: judge one host', spent * MICROSECONDS, 'us')


def measure_planning() -> None:
    """Measure the plan of a search over 390 upstreams."""
    shards = {
        ShardId(f's{number:04d}'): (
            UpstreamId(f'u{number % 390}'),
            UpstreamId(f'u{(number + 7) % 390}'),
        )
        for number in range(390)
    }
    shard_map = ShardMap(IndexVersion(1), shards)
    index = IndexRecord(service=ServiceId('jobs'), versions=(shard_map,))
    began = time.process_time()
    for _ in range(50):
        choose_version(index, lambda upstream: True)
        assign_shards(shard_map, shards, lambda upstream: 1.0, {})
    spent = (time.process_time() - began) / 50 / 390
    show('plan of a search: for each upstream of 390', spent * MICROSECONDS, 'us')


def measure_records() -> None:
    """Measure the ledger of a zone and the memory of upstream records."""
    codec = RecordCodec()
    holder = '10.20.30.40:8101#0123456789abcdef'
    seats = {
        UpstreamId(f'jobs-zone-a-{number}'): (holder, holder, holder, holder)
        for number in range(530)
    }
    content = codec.encode_record(SeatsRecord(zone=ZONE, seats=seats))
    show('ledger of a zone with 530 upstreams', len(content) / 1024, 'KB')
    stored = StoredObject(
        kind='seats', name=ZONE, revision=Revision(1), content=content
    )
    began = time.process_time()
    codec.decode_record(stored)
    spent = time.process_time() - began
    show('ledger: decode', spent * 1000, 'ms')
    record = UpstreamRecord(
        upstream=UpstreamId('u'),
        service=ServiceId('jobs'),
        zone=ZONE,
        address='10.0.0.1:80',
        slots=4,
        connections=35,
    )
    content = codec.encode_record(record)
    stored = StoredObject(
        kind='upstream', name='u', revision=Revision(1), content=content
    )
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    began = time.process_time()
    kept = [
        (codec.decode_record(stored), bytes(bytearray(content))) for _ in range(1000)
    ]
    spent = time.process_time() - began
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    show('upstream record: memory with its object', held / len(kept), 'bytes')
    show('upstream record: decode (traced)', spent / 1000 * MICROSECONDS, 'us')


def read_resident() -> float:
    """Return this process's resident memory in kilobytes."""
    with open('/proc/self/status', encoding='utf-8') as status:
        line = next(line for line in status if line.startswith('VmRSS'))
    return float(line.split()[1])


async def measure_links() -> None:
    """Measure the resident memory of open streams, both ends."""
    server = GrpcTransport(HostId('127.0.0.1:9483'))

    async def hold(channel):
        async for _ in channel.receive():
            continue

    server.accept_with(hold)
    bundle = make_bundle([make_request(1)])
    async with server:
        client = GrpcTransport(HostId('127.0.0.1:9484'))
        show('resident memory with one stream at most', read_resident() / 1024, 'MB')
        before = read_resident()
        channels = []
        for _ in range(200):
            channel = await client.open(HostId('127.0.0.1:9483'))
            await channel.send(bundle)
            channels.append(channel)
        await asyncio.sleep(0.5)
        show('stream: memory, both ends', (read_resident() - before) / 200, 'KB')
        for channel in channels:
            await channel.close()


def main() -> None:
    """Print every slope."""
    measure_codec()
    asyncio.run(measure_stream())
    asyncio.run(measure_upstream())
    measure_heartbeats()
    measure_planning()
    measure_records()
    asyncio.run(measure_links())


if __name__ == '__main__':
    main()
