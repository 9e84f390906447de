"""Objects of the store that other programs wrote, read over real sockets."""

import asyncio
import itertools

import pytest

from rattanspoke.contracts import DIRECTORY, Metric
from rattanspoke.model import PlatformUnavailable, Seconds, ServiceId
from rattanspoke.platform import HttpStore
from rattanspoke.services import HostCounters

from .edges import Edge, FakeUpstream
from .sockets import serving
from .stores import EventStore, wait_until, write_state

# Contents that JSON allows but a decoder may refuse, and contents that are not JSON.
UNREADABLE = {
    'nested': b'{"service": ' + b'[' * 3000 + b']' * 3000 + b'}',
    'nested twice': b'[' * 200_000 + b']' * 200_000,
    'surrogate': b'{"service": "\\udcff\\udcfe", "state": "ready"}',
    'not UTF-8': b'{"service": "\xff\xfe"}',
    'number': b'{"slots": ' + b'9' * 5000 + b', "born": 1e999}',
    'long text': b'"' + b'\\"' * 500_000 + b'"',
    'name in status': b'{"service": "s"}, "status": {"\\ud800": ["\\ud800"]}',
}


def list_replicas(edge):
    """Return, for each host, the names of the upstreams that it sends requests to."""
    return [
        sorted(
            each.upstream for each in kernel.find(DIRECTORY).replicas(ServiceId('one'))
        )
        for kernel in edge.kernels.values()
    ]


@pytest.mark.parametrize('name', UNREADABLE)
def test_drain_is_followed_beside_an_unreadable_registration(name):
    """An upstream that drains leaves the rotation whatever another entry holds.

    A registration that could not be decoded once ended the watch of the registrations
    on every host, or made all later changes of them unreadable.
    """

    async def scene():
        store = EventStore()
        write_state(store)
        async with (
            serving(store.handle) as address,
            Edge(hosts=2, store_address=address) as edge,
        ):
            await wait_until(lambda: list_replicas(edge) == [['one-0', 'one-1']] * 2)
            store.put('servers', 'other', UNREADABLE[name])
            await asyncio.sleep(0.3)  # so that the hosts read it separately
            store.remove('servers', 'other')
            draining = edge_entry('one-0', state='draining')
            store.put('servers', 'one-0', draining)
            await wait_until(lambda: list_replicas(edge) == [['one-1']] * 2)

    asyncio.run(scene())


@pytest.mark.parametrize('name', UNREADABLE)
def test_host_starts_beside_an_unreadable_registration(name):
    """A host that starts uses the other upstreams of the listing.

    An unreadable entry once made the whole listing unreadable for as long as it was
    there, so that no host that started became ready.
    """

    async def scene():
        store = EventStore()
        write_state(store)
        store.put('servers', 'one-0', UNREADABLE[name])
        async with (
            serving(store.handle) as address,
            Edge(hosts=1, store_address=address) as edge,
        ):
            await wait_until(lambda: list_replicas(edge) == [['one-1']])

    asyncio.run(scene())


def edge_entry(name, **changes):
    """Return the registration of an upstream of the service, with changed fields."""
    return FakeUpstream(name, 'one', 'east', f'{name}:80').register(**changes)


def test_object_without_a_readable_name_is_left_out():
    """Objects whose meta data does not decode are counted and left out."""

    async def scene():
        store = EventStore()
        counters = HostCounters()
        for number, meta in enumerate((b'', b', "finalizers": ["\\udcff"]', b'')):
            store.put('hosts', f'host-{number}', b'{}', meta)
        async with (
            serving(store.handle) as address,
            HttpStore(address, counters) as client,
        ):
            listing = await client.list_kind('hosts')
            changes = await client.watch_kind('hosts', 1, Seconds(1))
        for found in (listing, changes):
            assert [each.name for each in found.objects] == ['host-0', 'host-2']
            assert found.revision == store.revision
        assert counters.total(Metric.OBJECTS_UNREADABLE, 'hosts') == 2

    asyncio.run(scene())


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'[]',
        b'{"items": [], "asOf": "7"}',
        b'{"items": [{}], "asOf": 7',
        b'{"items": [{}]], "asOf": 7}',
        b'{"items": {}, "asOf": 7}',
        b'{"items": [' + b'[' * 500_000,
        b'{"items": ["' + b'\\"' * 500_000,
        b'{"items": [{"meta": {"name": 3}}], "asOf": 7, "more": true}',
    ],
    ids=itertools.count(),
)
def test_unreadable_page_fails_the_call(content):
    """A page that cannot be taken apart raises the error of a failed call."""

    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n' % len(content))
        writer.write(b'\r\n' + content)
        await writer.drain()
        await reader.read()

    async def scene():
        async with (
            serving(answer) as address,
            HttpStore(address, HostCounters()) as client,
        ):
            with pytest.raises(PlatformUnavailable):
                await client.list_kind('hosts')

    asyncio.run(scene())
