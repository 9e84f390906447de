"""Run a simulated platform and simulated upstreams, for benchmarks and experiments."""

import asyncio
from contextlib import AsyncExitStack
from typing import Self

from cleo.commands.command import Command
from cleo.helpers import option

from .._exit_codes import ExitCode
from ..standins import (
    Environment,
    PlatformServer,
    Scenario,
    UpstreamServer,
    build_environment,
)

PLATFORM_ADDRESS = '127.0.0.1:9000'


class StandinsCommand(Command):
    """Serve a simulated platform and upstreams over loopback until interrupted."""

    name = 'standins'
    description = 'Serves a simulated platform and upstreams over loopback.'
    options = [
        option('zones', None, 'Availability zones.', flag=False, default=3),
        option('upstreams', None, 'Upstreams in each zone.', flag=False, default=4),
        option('shards', None, 'Shards of the index.', flag=False, default=24),
        option('straggle', None, 'Fraction of slow calls.', flag=False, default=0),
    ]

    def handle(self) -> int:
        """Build the deployment that the options describe and serve it."""
        scenario = Scenario(
            zones=int(self.option('zones')),
            upstreams=int(self.option('upstreams')),
            shards=int(self.option('shards')),
        )
        try:
            asyncio.run(self._serve(scenario, float(self.option('straggle'))))
        except KeyboardInterrupt:
            return ExitCode.OK
        return ExitCode.OK

    async def _serve(self, scenario: Scenario, straggle: float) -> None:
        environment = build_environment(scenario)
        for upstream in environment.upstreams.values():
            upstream.behaviour.straggle = straggle
        async with serve_standins(environment):
            self.line(f'platform at http://{PLATFORM_ADDRESS}')
            await asyncio.Event().wait()


def serve_standins(
    environment: Environment, address: str = PLATFORM_ADDRESS
) -> AsyncExitStack:
    """Return a context that serves the simulated platform and every upstream.

    The platform is served at the given address, as host:port; each upstream at the
    address in its own record.
    """
    return _StandinServers(environment, address)


class _StandinServers(AsyncExitStack):
    """The running servers of a simulated deployment."""

    def __init__(self, environment: Environment, address: str) -> None:
        super().__init__()
        self._environment = environment
        self._address = address

    async def __aenter__(self) -> Self:
        await super().__aenter__()
        platform = PlatformServer(self._environment.platform, self._address)
        await self.enter_async_context(platform.serve())
        for upstream in self._environment.upstreams.values():
            await self.enter_async_context(UpstreamServer(upstream).serve())
        return self
