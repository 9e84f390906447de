"""Objects of the store that other programs wrote, read over real sockets."""

import asyncio
import itertools
from dataclasses import dataclass, field
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec
import pytest

from rattanspoke.contracts import DIRECTORY, Metric
from rattanspoke.model import PlatformUnavailable, Seconds, ServiceId
from rattanspoke.platform import HttpStore
from rattanspoke.services import HostCounters

from .edges import Edge, FakeUpstream, build_route
from .sockets import serving

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


@dataclass
class EventStore:
    """The platform's store, which returns every event of its history to a watch."""

    revision: int = 1
    items: dict[tuple[str, str], bytes] = field(default_factory=dict)
    events: list[tuple[int, str, bytes]] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, kind, name, spec, meta=b''):
        """Write an object; `meta` adds members to the text of its meta data."""
        item = self._note(kind, name, spec, meta, is_deleted=False)
        self.items[kind, name] = item

    def remove(self, kind, name):
        """Delete an object."""
        self.items.pop((kind, name))
        self._note(kind, name, b'null', b'', is_deleted=True)

    def _note(self, kind, name, spec, meta, *, is_deleted):
        self.revision += 1
        item = b'{"meta": {"name": "%b", "revision": %d%b}, "spec": %b}' % (
            name.encode(),
            self.revision,
            meta,
            spec,
        )
        deleted = b'true' if is_deleted else b'false'
        event = b'{"object": %b, "deleted": %b}' % (item, deleted)
        self.events.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()
        return item

    async def handle(self, reader, writer):
        """Serve one connection."""
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            method, target, _ = head.split(b'\r\n')[0].decode().split(' ')
            length = int(head.lower().partition(b'content-length: ')[2].split()[0])
            body = await reader.readexactly(length)
            content = await self._answer(method, target, body)
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n' % len(content))
            writer.write(b'\r\n' + content)
            await writer.drain()

    async def _answer(self, method, target, body):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        kind = unquote(parts.path.split('/')[3])
        if method == 'POST':
            form = msgspec.json.decode(body)
            name = form['meta']['name']
            self.put(kind, name, msgspec.json.encode(form['spec']))
            return self.items[kind, name]
        if 'watch' in query:
            return await self._watch(kind, int(query['watch']), int(query['waitMs']))
        items = [item for (each, _), item in self.items.items() if each == kind]
        return b'{"items": [%b], "more": false, "asOf": %d}' % (
            b', '.join(items),
            self.revision,
        )

    async def _watch(self, kind, after, wait_ms):
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while not (events := self._select(kind, after)):
                    await self.changed.wait()
        except TimeoutError:
            events = []
        return b'{"events": [%b], "asOf": %d}' % (b', '.join(events), self.revision)

    def _select(self, kind, after):
        return [
            event
            for revision, each, event in self.events
            if each == kind and revision > after
        ]


async def wait_until(condition):
    """Poll a condition until it holds; fail the test if it does not in time."""
    for _ in range(400):
        if condition():
            return
        await asyncio.sleep(0.05)
    pytest.fail('the condition did not become true')


def write_state(store):
    """Write one service with two upstreams; return the upstreams."""
    upstreams = [
        FakeUpstream(f'one-{number}', 'one', 'east', f'one-{number}:80')
        for number in range(2)
    ]
    for upstream in upstreams:
        store.put('servers', upstream.name, upstream.register())
    form = {
        'version': 1,
        'routes': [build_route('one')],
        'services': [{'name': 'one', 'maxConnections': 35}],
        'limits': dict.fromkeys(
            ('maxHeaderBytes', 'maxBodyBytes', 'headerTimeoutMs', 'idleTimeoutMs'), 9999
        ),
    }
    store.put('config', 'main', msgspec.json.encode(form))
    return upstreams


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
