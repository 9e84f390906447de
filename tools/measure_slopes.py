"""Measure the cost per unit of work from which docs/CAPACITY.md is computed.

Run: python -m tools.measure_slopes. Each row is the processor time, bytes or memory of
one unit of work. Both ends of a stream run in this process, so a row for a stream is
the sum of both.
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
    SeatAssignmentRecord,
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
    """Return a sub-request of typical size."""
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
    """Return a sub-reply of typical size."""
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
    """Return a bundle with each message in a parcel of its own."""
    parcels = tuple(
        Parcel(CallId(number), message, is_reply=False)
        for number, message in enumerate(messages)
    )
    return Bundle(HostId('10.0.0.1:8101'), Incarnation('a' * 16), 1, parcels)


def print_row(name: str, amount: float, unit: str) -> None:
    """Print one row."""
    print(f'{name:<58} {amount:>10.2f} {unit}')


def measure_codec() -> None:
    """Measure the encoding and decoding of bundles of 64 messages."""
    for name, messages in (
        ('sub-request', [make_request(number) for number in range(64)]),
        ('sub-reply with 10 hits', [make_reply(number) for number in range(64)]),
        ('sub-reply with 1 hit', [make_reply(number, 1) for number in range(64)]),
    ):
        bundle = make_bundle(messages)
        started_at = time.process_time()
        for _ in range(200):
            content = encode_bundle(bundle).SerializeToString()
        encoded_at = time.process_time()
        for _ in range(200):
            decode_bundle(parse_bundle(content))
        decoded_at = time.process_time()
        print_row(f'{name}: size in a bundle of 64', len(content) / 64, 'bytes')
        print_row(
            f'{name}: encode', (encoded_at - started_at) / 200 / 64 * MICROSECONDS, 'us'
        )
        print_row(
            f'{name}: decode', (decoded_at - encoded_at) / 200 / 64 * MICROSECONDS, 'us'
        )


async def measure_stream() -> None:
    """Measure a gRPC stream that echoes bundles of several sizes."""
    server = GrpcTransport(HostId('127.0.0.1:9481'))

    async def echo(channel):
        async for bundle in channel.receive():
            await channel.send(bundle)

    server.register_channel_handler(echo)
    async with server:
        channel = await GrpcTransport(HostId('127.0.0.1:9482')).open(
            HostId('127.0.0.1:9481')
        )
        replies = channel.receive()
        for size, rounds in ((1, 1000), (8, 500), (64, 200), (256, 60)):
            bundle = make_bundle([make_request(number) for number in range(size)])
            started_at = time.process_time()
            for _ in range(rounds):
                await channel.send(bundle)
                await anext(replies)
            elapsed = (time.process_time() - started_at) / rounds / size / 2
            print_row(
                f'stream: one item one way, both ends, bundles of {size}',
                elapsed * MICROSECONDS,
                'us',
            )
        await channel.close()


async def measure_upstream() -> None:
    """Compare an upstream call over a seat's connection with the bare HTTP client."""
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

        async def call_directly():
            async with session.post(url, data=body) as response:
                msgspec.json.decode(await response.read())

        async with HttpUpstreamClient().open(record) as connection:

            async def call_through_seat():
                await connection.search('c', [part], Seconds(1))

            rows = {}
            for _ in range(3):
                for name, call in (
                    ('bare client', call_directly),
                    ('seat', call_through_seat),
                ):
                    await call()
                    started_at = time.process_time()
                    for _ in range(400):
                        await call()
                    elapsed = (time.process_time() - started_at) / 400 * MICROSECONDS
                    rows[name] = min(rows.get(name, elapsed), elapsed)
    for name, elapsed in rows.items():
        print_row(f'upstream call, {name}, with the stand-in server', elapsed, 'us')
    print_row(
        'upstream call, seat to bare client', rows['seat'] / rows['bare client'], 'x'
    )


def measure_heartbeats() -> None:
    """Measure the size of a heartbeat and the cost of determining a host's state."""
    heartbeat = Heartbeat(
        incarnation=Incarnation('a' * 16), zone=ZONE, watermark=Revision(10**6)
    )
    bundle = make_bundle([heartbeat])
    content = encode_bundle(bundle).SerializeToString()
    print_row('heartbeat: size of its bundle', len(content), 'bytes')
    view = Membership(HostId('me'), ZONE)
    for number in range(68):
        host = HostId(f'h{number}')
        view.note_heartbeat(host, ZONE, Incarnation('a'), Seconds(0), leaving=False)
    started_at = time.process_time()
    for _ in range(100):
        for host in view.list_known_hosts():
            view.find_state(host, Seconds(1))
    elapsed = (time.process_time() - started_at) / 100 / 68
    print_row('membership: find the state of one host', elapsed * MICROSECONDS, 'us')


def measure_planning() -> None:
    """Measure the assignment of shards to upstreams for a search over 390 upstreams."""
    shards = {
        ShardId(f's{number:04d}'): (
            UpstreamId(f'u{number % 390}'),
            UpstreamId(f'u{(number + 7) % 390}'),
        )
        for number in range(390)
    }
    shard_map = ShardMap(IndexVersion(1), shards)
    index = IndexRecord(service=ServiceId('jobs'), versions=(shard_map,))
    started_at = time.process_time()
    for _ in range(50):
        choose_version(index, lambda upstream: True)
        assign_shards(shard_map, shards, lambda upstream: 1.0, {})
    elapsed = (time.process_time() - started_at) / 50 / 390
    print_row(
        'plan of a search: for each upstream of 390', elapsed * MICROSECONDS, 'us'
    )


def measure_records() -> None:
    """Measure the seat assignment record of a zone, and upstream records in memory."""
    codec = RecordCodec()
    holder = '10.20.30.40:8101#0123456789abcdef'
    seats = {
        UpstreamId(f'jobs-zone-a-{number}'): (holder, holder, holder, holder)
        for number in range(530)
    }
    content = codec.encode_record(SeatAssignmentRecord(zone=ZONE, seats=seats))
    print_row(
        'seat assignment record of a zone with 530 upstreams', len(content) / 1024, 'KB'
    )
    stored = StoredObject(
        kind='seats', name=ZONE, revision=Revision(1), content=content
    )
    started_at = time.process_time()
    codec.decode_record(stored)
    elapsed = time.process_time() - started_at
    print_row('seat assignment record: decode', elapsed * 1000, 'ms')
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
    started_at = time.process_time()
    decoded_records = [
        (codec.decode_record(stored), bytes(bytearray(content))) for _ in range(1000)
    ]
    elapsed = time.process_time() - started_at
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print_row(
        'upstream record: memory with its object',
        memory / len(decoded_records),
        'bytes',
    )
    print_row('upstream record: decode (traced)', elapsed / 1000 * MICROSECONDS, 'us')


def read_resident() -> float:
    """Return the resident memory of this process in kilobytes."""
    with open('/proc/self/status', encoding='utf-8') as status:
        line = next(line for line in status if line.startswith('VmRSS'))
    return float(line.split()[1])


async def measure_links() -> None:
    """Measure the resident memory of open streams between hosts, both ends."""
    server = GrpcTransport(HostId('127.0.0.1:9483'))

    async def discard_bundles(channel):
        async for _ in channel.receive():
            continue

    server.register_channel_handler(discard_bundles)
    bundle = make_bundle([make_request(1)])
    async with server:
        client = GrpcTransport(HostId('127.0.0.1:9484'))
        print_row(
            'resident memory with one stream at most', read_resident() / 1024, 'MB'
        )
        before = read_resident()
        channels = []
        for _ in range(200):
            channel = await client.open(HostId('127.0.0.1:9483'))
            await channel.send(bundle)
            channels.append(channel)
        await asyncio.sleep(0.5)
        print_row('stream: memory, both ends', (read_resident() - before) / 200, 'KB')
        for channel in channels:
            await channel.close()


def main() -> None:
    """Run every measurement and print its rows."""
    measure_codec()
    asyncio.run(measure_stream())
    asyncio.run(measure_upstream())
    measure_heartbeats()
    measure_planning()
    measure_records()
    asyncio.run(measure_links())


if __name__ == '__main__':
    main()
