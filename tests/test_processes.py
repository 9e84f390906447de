"""Hosts as real processes under real signals.

No assertion depends on how long something takes, so that a busy machine fails no test.
"""

import asyncio
import json
import os
import signal
import sys
from dataclasses import dataclass
from itertools import count

import httpx
import pytest

from rattanspoke.commands._standins import serve_standins
from rattanspoke.model import HostId, ZoneId
from rattanspoke.standins import HALVORSEN, WERKBANK, Scenario, build_environment
from tools.check_binary import count_children

HOSTS = 3
DEADLINE_MS = 8000  # long enough that requests succeed on a busy machine too
FIRST_PORT = 20_000  # below the range of ephemeral ports
PORT_BLOCKS = count()
MAX_POLLS = 400  # checks of a condition before a wait fails
POLL_INTERVAL = 0.05  # seconds between these checks
ZONE = ZoneId('zone-a')


@dataclass
class Process:
    """A host process, its addresses and the path of its settings file."""

    host: str
    url: str
    settings: str
    child: asyncio.subprocess.Process | None = None

    async def start(self):
        """Start the process with the command serve."""
        self.child = await asyncio.create_subprocess_exec(
            sys.executable, '-m', 'rattanspoke', 'serve', self.settings
        )


def choose_ports():
    """Return the first of 100 ports that no other worker or test uses."""
    worker = os.environ.get('PYTEST_XDIST_WORKER', 'gw0').removeprefix('gw')
    return FIRST_PORT + int(worker) * 500 + next(PORT_BLOCKS) * 100


class Fleet:
    """Simulated platform and upstreams in this process, each host in its own."""

    def __init__(self, folder):
        """Choose ports, build the upstreams and write the settings of the hosts."""
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
        self.servers = serve_standins(self.environment, self.platform)
        await self.servers.__aenter__()
        self.client = httpx.AsyncClient(timeout=20)
        for process in self.processes:
            await process.start()
            self.environment.platform.register_host(HostId(process.host), ZONE)
        await self.wait_until(self.all_hosts_serve)
        return self

    async def __aexit__(self, *exc):
        for process in self.processes:
            if process.child.returncode is None:
                process.child.kill()
            await process.child.wait()
        await self.client.aclose()
        await self.servers.aclose()

    async def wait_until(self, condition):
        """Poll a condition until it holds; fail the test if it does not in time."""
        for _ in range(MAX_POLLS):
            if await condition():
                return
            await asyncio.sleep(POLL_INTERVAL)
        pytest.fail(f'{condition.__name__} did not become true')

    async def all_hosts_serve(self):
        """Return whether every running host answers a search with all shards."""
        for process in self.processes:
            if process.child.returncode is None:
                answer = await self.search(process.url)
                if answer is None or not answer.get('complete'):
                    return False
        return True

    async def search(self, url):
        """Send a search; return the answer, None if the host could not be reached."""
        return await self.post(
            url,
            'search',
            {'service': 'jobs', 'query': 'glass', 'deadline_ms': DEADLINE_MS},
        )

    async def book(self, url, key):
        """Send a booking; return the answer, None if the host could not be reached."""
        body = {
            'service': 'dispatch',
            'key': key,
            'content': key,
            'deadline_ms': DEADLINE_MS,
        }
        return await self.post(url, 'bookings', body, HALVORSEN)

    async def post(self, url, path, body, organisation=WERKBANK):
        """Send a request; return the answer, None if the host could not be reached."""
        headers = {'Authorization': f'Bearer token-of-{organisation}'}
        try:
            response = await self.client.post(
                f'{url}/v1/{path}', json=body, headers=headers
            )
        except httpx.HTTPError:
            return None
        return response.json()

    def executions(self, key):
        """Return how many times upstreams ran a booking."""
        return sum(
            upstream.stats.executions[key]
            for upstream in self.environment.upstreams.values()
        )

    def assert_limits(self):
        """Check that no upstream got more concurrent calls than it may get."""
        for upstream in self.environment.upstreams.values():
            assert upstream.stats.peak_in_flight <= upstream.record.slots
            assert upstream.stats.calls_over_capacity == 0


@pytest.fixture
def run_with_fleet(tmp_path):
    """Return a function that runs the steps of a test with a fleet of processes."""

    def run_steps(steps):
        async def run_fleet():
            async with Fleet(tmp_path) as fleet:
                await steps(fleet)
                fleet.assert_limits()

        asyncio.run(run_fleet())

    return run_steps


def test_sigterm_under_load_completes_all_work(run_with_fleet):
    """A host that gets SIGTERM under load completes its work and exits with 0.

    Guards against requests that are cut off during a deploy: the host still gets some
    after the signal, until its callers see that it is not ready. Every search must be
    complete, and every booking must have run exactly once.
    """

    async def steps(fleet):
        stopping = fleet.processes[0]
        results = []

        async def send_pair(number):
            ready = await fleet.client.get(f'{stopping.url}/ready')
            url = stopping.url if ready.status_code == 200 else fleet.processes[1].url
            results.append(await fleet.search(url))
            results.append(await fleet.book(url, f'k{number}'))

        tasks = []
        for number in range(40):
            tasks.append(asyncio.ensure_future(send_pair(number)))
            await asyncio.sleep(0.01)
            if number == 20:
                stopping.child.send_signal(signal.SIGTERM)
        await asyncio.gather(*tasks)
        assert count_children(fleet.processes[1].child.pid) == 0
        assert await stopping.child.wait() == 0
        assert None not in results
        for result in results:
            is_complete = result.get('complete') or result.get('outcome') == 'ran'
            assert is_complete, result.get('missing', result)
        assert all(fleet.executions(f'k{number}') == 1 for number in range(40))

    run_with_fleet(steps)


def test_sigkill_runs_no_booking_twice(run_with_fleet):
    """Bookings that are sent again after their host was killed run at most once.

    Guards against double execution: the killed host may have sent a booking to an
    upstream before the result was stored. The host that gets it next must not run it
    again, and must not report another outcome than the real one.
    """

    async def steps(fleet):
        killed, other, _ = fleet.processes
        keys = [f'k{number}' for number in range(30)]
        first = [asyncio.ensure_future(fleet.book(killed.url, key)) for key in keys]
        await asyncio.sleep(0.03)
        killed.child.kill()
        await asyncio.gather(*first)
        for key in keys:
            reply = await fleet.book(other.url, key)
            runs = fleet.executions(key)
            assert runs <= 1
            assert (reply['outcome'] == 'ran') <= (runs == 1)
            assert (reply['outcome'] == 'not run') <= (runs == 0)
        await killed.child.wait()
        await fleet.wait_until(fleet.all_hosts_serve)

    run_with_fleet(steps)


def test_limits_hold_after_sigstop(run_with_fleet):
    """A host that is paused by SIGSTOP keeps all limits after it resumes.

    Guards against a host that acts on outdated state: it is paused right after it was
    sent a booking, which meanwhile is sent to another host, and resumes later. The
    booking must run at most once, and no upstream may get too many calls.
    """

    async def steps(fleet):
        paused, other, _ = fleet.processes
        pending = [asyncio.ensure_future(fleet.book(paused.url, 'k1'))]
        paused.child.send_signal(signal.SIGSTOP)
        reply = await fleet.book(other.url, 'k1')
        assert reply is not None
        for _ in range(20):
            await fleet.search(other.url)
        paused.child.send_signal(signal.SIGCONT)
        await asyncio.gather(*pending)
        assert fleet.executions('k1') <= 1
        await fleet.wait_until(fleet.all_hosts_serve)

    run_with_fleet(steps)
