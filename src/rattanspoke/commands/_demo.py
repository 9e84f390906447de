"""Run two hosts with simulated upstreams in one process and demonstrate them."""

import asyncio
from typing import Any

import httpx
from cleo.commands.command import Command
from cleo.helpers import option

from .._exit_codes import ExitCode
from .._process import HostProcess
from .._settings import Settings
from ..model import HostId, UpstreamId, ZoneId, ZoneRecord, ZoneState
from ..standins import (
    HALVORSEN,
    WERKBANK,
    Environment,
    Scenario,
    build_environment,
    make_organisation_token,
    make_zone_id,
)
from ._inspect import describe_event, merge_events
from ._standins import PLATFORM_ADDRESS, serve_standins

# Seconds after the start in which the hosts find each other and get seats (concurrency
# permits of upstreams).
STARTUP_DELAY = 5
MAX_SHOWN_EVENTS = 25
URLS = ('http://127.0.0.1:8001', 'http://127.0.0.1:8002')
PEERS = (HostId('127.0.0.1:8101'), HostId('127.0.0.1:8102'))


class DemoCommand(Command):
    """Demonstrate searches, bookings, a crash, and a zone taken out and returned."""

    name = 'demo'
    description = 'Runs two hosts with simulated upstreams and prints their answers.'
    options = [
        option(
            'stay',
            's',
            'Seconds to keep running for your own requests after the demonstration.',
            flag=False,
            default=0,
        )
    ]

    def handle(self) -> int:
        """Run the demonstration and keep the hosts up for as long as asked to."""
        asyncio.run(self._run(float(self.option('stay'))))
        return ExitCode.OK

    async def _run(self, stay: float) -> None:
        environment = build_environment(Scenario(zones=2, documents=6000, shards=32))
        async with (
            serve_standins(environment),
            HostProcess(_make_settings(0)) as first,
            HostProcess(_make_settings(1)) as second,
            httpx.AsyncClient(timeout=5) as client,
        ):
            for number, host in enumerate(PEERS):
                environment.platform.register_host(host, make_zone_id(number))
            self.line(f'two hosts at {URLS[0]} and {URLS[1]}; starting ...')
            await asyncio.sleep(STARTUP_DELAY)
            await self._run_steps(client, environment)
            if stay:
                self._print_example(stay)
                await asyncio.sleep(stay)
            await asyncio.gather(first.leave(), second.leave())

    async def _run_steps(
        self, client: httpx.AsyncClient, environment: Environment
    ) -> None:
        self._print_title('A search over every shard, from each host')
        for url in URLS:
            await self._search(client, url, 'polish glass')
        self._print_title('A booking, and the same key sent again to the other host')
        for url in URLS:
            await self._book(client, url)
        self._print_title('An upstream crashes during searches')
        environment.upstreams[UpstreamId('jobs-zone-a-0')].crash()
        for _ in range(3):
            await self._search(client, URLS[0], 'bakery counter')
        self._print_title('Operators take zone-b out')
        _set_zone(environment, ZoneState.TAKEN_OUT)
        await asyncio.sleep(1)
        await self._search(client, URLS[0], 'resize ring')
        self._print_title('... and bring it back')
        _set_zone(environment, ZoneState.IN_SERVICE)
        await asyncio.sleep(1)
        await self._search(client, URLS[0], 'resize ring')
        self._print_title('The last events, of both hosts')
        await self._show_events(client)

    async def _search(self, client: httpx.AsyncClient, url: str, query: str) -> None:
        body = {'service': 'jobs', 'query': query, 'limit': 3}
        answer = await _post(client, f'{url}/v1/search', body, WERKBANK)
        if 'hits' not in answer:
            self.line(f'  refused: {answer}')
            return
        covered, missing = len(answer['covered']), answer['missing']
        self.line(
            f'  "{query}": version {answer["version"]},'
            f' {covered} of {covered + len(missing)} shards'
        )
        for reason in sorted(set(missing.values())):
            self.line(f'    missing: {reason}')
        for hit in answer['hits']:
            self.line(f'    {hit["score"]:.3f} {hit["document"]} {hit["text"]}')

    async def _book(self, client: httpx.AsyncClient, url: str) -> None:
        body = {
            'service': 'dispatch',
            'key': 'visit-1',
            'content': 'reseal deli counter',
        }
        receipt = await _post(client, f'{url}/v1/bookings', body, HALVORSEN)
        self.line(f'  {receipt}')

    async def _show_events(self, client: httpx.AsyncClient) -> None:
        events: list[dict[str, Any]] = []
        for url in URLS:
            events += (await client.get(f'{url}/v1/timeline')).json()
        for event in merge_events(events)[-MAX_SHOWN_EVENTS:]:
            self.line(f'  {describe_event(event)}')

    def _print_example(self, stay: float) -> None:
        self._print_title(f'Running for {stay:.0f} more seconds; try')
        self.line(
            f"  curl -H 'Authorization: Bearer {make_organisation_token(WERKBANK)}'"
            f' -d \'{{"service": "jobs", "query": "solder clasp"}}\''
            f' {URLS[0]}/v1/search'
        )

    def _print_title(self, text: str) -> None:
        self.line(f'\n<info>{text}</info>')


def _make_settings(number: int) -> Settings:
    return Settings(
        host=PEERS[number],
        zone=make_zone_id(number),
        listen=URLS[number].removeprefix('http://'),
        platform=f'http://{PLATFORM_ADDRESS}',
        leave_wait=0.5,
    )


def _set_zone(environment: Environment, state: ZoneState) -> None:
    zone = ZoneId('zone-b')
    environment.write('zone', zone, ZoneRecord(zone=zone, state=state))


async def _post(
    client: httpx.AsyncClient, url: str, body: dict[str, Any], organisation: str
) -> dict[str, Any]:
    headers = {'Authorization': f'Bearer token-of-{organisation}'}
    response = await client.post(url, json=body, headers=headers)
    answer: dict[str, Any] = response.json()
    return answer
