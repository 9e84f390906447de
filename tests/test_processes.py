"""Hosts as real processes under real signals; nothing is judged by the wall clock."""

import asyncio
import json
import os
import signal
import sys
from dataclasses import dataclass
from itertools import count

import httpx
import pytest

from rattanspoke.commands._standins import serve_world
from rattanspoke.model import HostId, ZoneId
from rattanspoke.standins import HALVORSEN, WERKBANK, Scenario, build_environment
from tools.check_binary import count_children

HOSTS = 3
DEADLINE_MS = 8000  # long, so that a busy machine changes no verdict
FIRST_PORT = 20_000  # below the ports that the system gives out by itself
NUMBERS = count()
PATIENCE = 400  # looks, a twentieth of a second apart, before a wait is given up
LOOK = 0.05
ZONE = ZoneId('zone-a')


@dataclass
class Process:
    """A host and the addresses on which it is reached."""

    host: str
    url: str
    settings: str
    child: asyncio.subprocess.Process | None = None

    async def start(self):
        """Run the host's command."""
        self.child = await asyncio.create_subprocess_exec(
            sys.executable, '-m', 'rattanspoke', 'serve', self.settings
        )


def choose_ports():
    """Return the first of a hundred ports that no other worker or test uses."""
    worker = os.environ.get('PYTEST_XDIST_WORKER', 'gw0').removeprefix('gw')
    return FIRST_PORT + int(worker) * 500 + next(NUMBERS) * 100


class Fleet:
    """Stand-ins in this process, hosts in their own, and a client for both."""

    def __init__(self, folder):
        """Choose ports and write the settings."""
        port = choose_ports()
        scenario = Scenario(
            zones=1,
            upstreams=3,
            replicas=1,
            shards=6,
            documents=60,
            booking_upstreams=2,
            first_port=port + 50,
        )
        self.environment = build_environment(scenario)
        self.platform = f'127.0.0.1:{port}'
        self.processes = []
        for number in range(HOSTS):
            host = f'127.0.0.1:{port + 10 + number}'
            listen = f'127.0.0.1:{port + 20 + number}'
            path = folder / f'host-{number}.json5'
            settings = {
                'host': host,
                'zone': ZONE,
                'listen': listen,
                'platform': f'http://{self.platform}',
                'seed': number + 1,
                'leave_wait': 3,
            }
            path.write_text('// a host of a test\n' + json.dumps(settings))
            self.processes.append(Process(host, f'http://{listen}', str(path)))

    async def __aenter__(self):
        self.servers = serve_world(self.environment, self.platform)
        await self.servers.__aenter__()
        self.client = httpx.AsyncClient(timeout=20)
        for process in self.processes:
            await process.start()
            self.environment.platform.register_host(HostId(process.host), ZONE)
        await self.until(self.serves_everywhere)
        return self

    async def __aexit__(self, *exc):
        for process in self.processes:
            if process.child.returncode is None:
                process.child.kill()
            await process.child.wait()
        await self.client.aclose()
        await self.servers.aclose()

    async def until(self, condition):
        """Wait until a condition holds."""
        for _ in range(PATIENCE):
            if await condition():
                return
            await asyncio.sleep(LOOK)
        pytest.fail(f'{condition.__name__} never held')

    async def serves_everywhere(self):
        """Tell whether every host that runs answers in full."""
        for process in self.processes:
            if process.child.returncode is None:
                answer = await self.search(process.url)
                if answer is None or not answer.get('complete'):
                    return False
        return True

    async def search(self, url):
        """Return a host's answer, None if it could not be reached."""
        return await self.post(
            url,
            'search',
            {'service': 'jobs', 'query': 'glass', 'deadline_ms': DEADLINE_MS},
        )

    async def book(self, url, key):
        """Return what a host says of a booking, None if it could not be reached."""
        body = {
            'service': 'dispatch',
            'key': key,
            'content': key,
            'deadline_ms': DEADLINE_MS,
        }
        return await self.post(url, 'bookings', body, HALVORSEN)

    async def post(self, url, path, body, organisation=WERKBANK):
        """Send one request."""
        headers = {'Authorization': f'Bearer token-of-{organisation}'}
        try:
            response = await self.client.post(
                f'{url}/v1/{path}', json=body, headers=headers
            )
        except httpx.HTTPError:
            return None
        return response.json()

    def executions(self, key):
        """Return how often upstreams ran a booking."""
        return sum(
            upstream.stats.executions[key]
            for upstream in self.environment.upstreams.values()
        )

    def assert_limits(self):
        """Check what every upstream saw at most."""
        for upstream in self.environment.upstreams.values():
            assert upstream.stats.peak_in_flight <= upstream.record.slots
            assert upstream.stats.calls_over_capacity == 0


@pytest.fixture
def play(tmp_path):
    """Run a scene over a fleet of processes."""

    def run_scene(scene):
        async def whole():
            async with Fleet(tmp_path) as fleet:
                await scene(fleet)
                fleet.assert_limits()

        asyncio.run(whole())

    return run_scene


def test_sigterm_under_load_cuts_nothing(play):
    """A host that is told to stop ends all it took, and exits well."""

    async def scene(fleet):
        leaver = fleet.processes[0]
        endings = []

        async def ask(number):
            ready = await fleet.client.get(f'{leaver.url}/ready')
            url = leaver.url if ready.status_code == 200 else fleet.processes[1].url
            endings.append(await fleet.search(url))
            endings.append(await fleet.book(url, f'k{number}'))

        tasks = []
        for number in range(40):
            tasks.append(asyncio.ensure_future(ask(number)))
            await asyncio.sleep(0.01)
            if number == 20:
                leaver.child.send_signal(signal.SIGTERM)
        await asyncio.gather(*tasks)
        assert count_children(fleet.processes[1].child.pid) == 0
        assert await leaver.child.wait() == 0
        assert None not in endings
        for ending in endings:
            is_whole = ending.get('complete') or ending.get('outcome') == 'ran'
            assert is_whole, ending.get('missing', ending)
        assert all(fleet.executions(f'k{number}') == 1 for number in range(40))

    play(scene)


def test_sigkill_doubles_no_booking(play):
    """Bookings that are sent again after their host was killed run at most once."""

    async def scene(fleet):
        victim, other, _ = fleet.processes
        keys = [f'k{number}' for number in range(30)]
        first = [asyncio.ensure_future(fleet.book(victim.url, key)) for key in keys]
        await asyncio.sleep(0.03)
        victim.child.kill()
        await asyncio.gather(*first)
        for key in keys:
            said = await fleet.book(other.url, key)
            runs = fleet.executions(key)
            assert runs <= 1
            assert (said['outcome'] == 'ran') <= (runs == 1)
            assert (said['outcome'] == 'not run') <= (runs == 0)
        await victim.child.wait()
        await fleet.until(fleet.serves_everywhere)

    play(scene)


def test_sigstop_harms_nothing(play):
    """A host that is paused under load wakes up and passes no limit."""

    async def scene(fleet):
        paused, other, _ = fleet.processes
        waiting = [asyncio.ensure_future(fleet.book(paused.url, 'k1'))]
        paused.child.send_signal(signal.SIGSTOP)
        said = await fleet.book(other.url, 'k1')
        assert said is not None
        for _ in range(20):
            await fleet.search(other.url)
        paused.child.send_signal(signal.SIGCONT)
        await asyncio.gather(*waiting)
        assert fleet.executions('k1') <= 1
        await fleet.until(fleet.serves_everywhere)

    play(scene)
