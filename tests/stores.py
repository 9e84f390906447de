"""The platform's store over real sockets, as a stand-in that keeps its history."""

import asyncio
from dataclasses import dataclass, field
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec
import pytest

from .edges import FakeUpstream, build_route


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
