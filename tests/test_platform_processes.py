"""Hosts of the users' platform as real processes, under signals and without a store.

No assertion depends on how long something takes, so that a busy machine fails no test.
"""

import asyncio
import os
import signal
import sys
import time
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path

import httpx

from .edges import FakeUpstream
from .sockets import serving
from .stores import EventStore, write_state

FIRST_PORT = 16_000  # below the range of ephemeral ports
PORT_BLOCKS = count()
ATTEMPTS = count()
DRAIN_SECONDS = 3
SETTINGS = """
node=host-1
zone=east
zones.east=north
listen.front=127.0.0.1:{callers}
listen.ready=127.0.0.1:{probes}
listen.control=127.0.0.1:{peers}
bounds.graceS=6
bounds.drainMs=3000
bounds.retryBudgetRatio=0.2
bounds.budgetExtraRetries=52
platform.address={store}
"""


@dataclass
class Upstream:
    """An upstream that answers each request with its name as the seal."""

    name: str
    is_leaving: bool = False
    arrivals: list[float] = field(default_factory=list)

    async def handle(self, reader, writer):
        """Serve one connection."""
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            self.arrivals.append(time.monotonic())
            [attempt] = [
                line
                for line in head.split(b'\r\n')
                if line.lower().startswith(b'rattanspoke-attempt-id')
            ]
            leaving = b'Server-Leaving: 1\r\n' if self.is_leaving else b''
            writer.write(
                b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%b\r\n%b'
                b'Rattanspoke-Server-Seal: %b\r\n\r\nok'
                % (attempt, leaving, self.name.encode())
            )
            await writer.drain()


@dataclass
class Host:
    """A host in a process of its own."""

    child: asyncio.subprocess.Process
    callers: str
    probes: str

    async def probe(self, http):
        """Return whether the host is ready."""
        try:
            response = await http.get(f'{self.probes}/-/readiness')
        except httpx.TransportError:
            return False
        return response.status_code == 200


@asynccontextmanager
async def running(tmp_path, store_address):
    """Yield a host that has just been started, and end it."""
    worker = os.environ.get('PYTEST_XDIST_WORKER', 'gw0').removeprefix('gw')
    port = FIRST_PORT + int(worker) * 100 + next(PORT_BLOCKS) * 10
    path = tmp_path / 'settings.conf'
    addresses = {'callers': port, 'probes': port + 1, 'peers': port + 2}
    path.write_text(SETTINGS.format(store=store_address, **addresses))
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'rattanspoke._platform_main',
        env={**os.environ, 'RATTANSPOKE_CONFIG': str(path)},
    )
    try:
        yield Host(child, f'http://127.0.0.1:{port}', f'http://127.0.0.1:{port + 1}')
    finally:
        if child.returncode is None:
            child.kill()
        await child.wait()


def test_settings_signal_during_the_start_ends_nothing(tmp_path):
    """SIGHUP in the first moments of a process once ended it.

    The handler was installed after all services had started.
    """

    async def scene():
        store = EventStore()
        write_state(store)
        async with (
            serving(store.handle) as address,
            running(tmp_path, address) as host,
            httpx.AsyncClient() as http,
        ):
            for _ in range(400):
                if host.child.returncode is not None or await host.probe(http):
                    break
                await asyncio.sleep(0.01)
                if is_importing(host.child):
                    host.child.send_signal(signal.SIGHUP)
            assert host.child.returncode is None
            host.child.send_signal(signal.SIGTERM)
            assert await host.child.wait() == 0

    asyncio.run(scene())


def is_importing(child):
    """Return whether the process has begun to import the program's libraries.

    Before that, signals have their default action, whatever the program does.
    """
    return 'msgspec' in Path(f'/proc/{child.pid}/maps').read_text(encoding='utf-8')


def test_release_without_the_store_reaches_no_leaving_upstream(tmp_path):
    """While the store is cut off, replies are all that a host hears of a release.

    Every request is served, and none that is sent later than the drain time reaches
    the upstream that has announced that it leaves.
    """

    async def scene():
        store = EventStore()
        upstreams = [Upstream(each.name) for each in write_state(store)]
        async with AsyncExitStack() as stack, httpx.AsyncClient() as http:
            for upstream in upstreams:
                address = await stack.enter_async_context(serving(upstream.handle))
                fake = FakeUpstream(upstream.name, 'one', 'east', address)
                store.put('servers', upstream.name, fake.register())
            async with AsyncExitStack() as store_stack:
                store_address = await store_stack.enter_async_context(
                    serving(store.handle)
                )
                host = await stack.enter_async_context(running(tmp_path, store_address))
                while not await host.probe(http):
                    await asyncio.sleep(0.05)
                assert await press(host, http, 40) == {200}
            leaving = upstreams[0]
            leaving.is_leaving = True
            announced = len(leaving.arrivals)
            while len(leaving.arrivals) == announced:
                assert await press(host, http, 10) == {200}
            passed_on = time.monotonic()
            while time.monotonic() < passed_on + 2 * DRAIN_SECONDS:
                assert await press(host, http, 20) == {200}
            assert leaving.arrivals[-1] < passed_on + DRAIN_SECONDS

    asyncio.run(scene())


async def press(host, http, requests):
    """Send requests at the same time; return the statuses of the answers."""
    responses = await asyncio.gather(
        *(
            http.get(
                f'{host.callers}/one/x',
                headers={
                    'Host': 'jobs.example',
                    'Rattanspoke-Attempt-Id': f'a-{next(ATTEMPTS)}',
                },
            )
            for _ in range(requests)
        )
    )
    return {response.status_code for response in responses}
