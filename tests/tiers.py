"""A small tier in one process: real services over stand-ins, without sockets."""

import asyncio
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from itertools import count
from types import TracebackType
from typing import Self
from unittest.mock import patch

from rattanspoke._host import HostAdapters, assemble_host
from rattanspoke.contracts import (
    BOOKINGS,
    COUNTERS,
    LIFECYCLE,
    MEMBERS,
    SEARCHES,
    SEATS,
    Identity,
    Metric,
)
from rattanspoke.kernel import Kernel
from rattanspoke.model import (
    Answer,
    Booking,
    HostId,
    IdempotencyKey,
    Incarnation,
    OrganisationId,
    Receipt,
    RequestId,
    Search,
    Seconds,
    ServiceId,
    ZoneId,
)
from rattanspoke.services import HostCounters, HostTimeline
from rattanspoke.standins import (
    DISPATCH,
    HALVORSEN,
    JOBS,
    Environment,
    LocalNetwork,
    LocalTransport,
    LocalUpstreamClient,
    Scenario,
    build_environment,
    make_zone_id,
)
from rattanspoke.transports import RecordCodec, RecordStore


@dataclass
class Tier:
    """Hosts of a tier that a test starts, stops and sends requests to.

    Attributes:
        scenario: the sizes of the deployment around the hosts.
        hosts_per_zone: hosts that the tier starts in each zone.
        settle: seconds to wait after the start, until the seats are assigned.
        leave_wait: seconds that a leaving host still accepts requests after it has
            announced that it leaves and released its seats.
    """

    scenario: Scenario = field(default_factory=Scenario)
    hosts_per_zone: int = 1
    settle: float = 6
    leave_wait: float = 0.2

    def __post_init__(self) -> None:
        self.environment: Environment = build_environment(self.scenario)
        self.network = LocalNetwork()
        self.kernels: dict[HostId, Kernel] = {}
        self._stacks: dict[HostId, AsyncExitStack] = {}
        self._patches: list = []
        self.tasks: list[asyncio.Future] = []
        self._incarnation_numbers = count(1)
        self._requests = count(1)

    async def __aenter__(self) -> Self:
        for zone in range(self.scenario.zones):
            for number in range(self.hosts_per_zone):
                await self.start(HostId(f'host-{zone}{number}'), make_zone_id(zone))
        await asyncio.sleep(self.settle)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for each in self._patches:
            each.stop()
        for host in list(self.kernels):
            await self.kill(host)

    @property
    def hosts(self) -> list[HostId]:
        """The hosts to which the load balancer sends requests."""
        return [
            host
            for host, kernel in self.kernels.items()
            if not kernel.find(LIFECYCLE).is_leaving
        ]

    async def start(self, host: HostId, zone: ZoneId) -> None:
        """Start a host without any stored state, unless it is running."""
        if host in self.kernels:
            return
        incarnation_number = next(self._incarnation_numbers)
        identity = Identity(host, Incarnation(f'life-{incarnation_number}'), zone)
        transport = LocalTransport(self.network, host)
        ports = HostAdapters(
            codec=RecordCodec(),
            counters=HostCounters(),
            timeline=HostTimeline(identity),
            platform=RecordStore(self.environment.platform),
            peer_transport=transport,
            upstream_client=LocalUpstreamClient(self.environment.upstreams),
        )
        kernel = assemble_host(identity, ports, seed=incarnation_number)
        stack = AsyncExitStack()
        await stack.enter_async_context(kernel)
        transport.listen()
        self.environment.platform.register_host(host, zone)
        self.kernels[host] = kernel
        self._stacks[host] = stack

    async def kill(self, host: HostId) -> None:
        """Stop a host as abruptly as a crash of its process does."""
        if self.kernels.pop(host, None) is None:
            return
        self.network.kill(host)
        self.environment.platform.unregister_host(host)
        await self._stacks.pop(host).aclose()

    async def leave(self, host: HostId) -> bool:
        """Stop a host in order, as SIGTERM does; return whether all its work ended."""
        kernel = self.kernels[host]
        kernel.find(LIFECYCLE).leave()
        kernel.find(MEMBERS).announce_leaving()
        await kernel.find(SEATS).release_all()
        await asyncio.sleep(self.leave_wait)
        kernel.find(LIFECYCLE).close()
        drained = await kernel.find(LIFECYCLE).drain()
        await self.kill(host)
        return drained

    async def search(
        self,
        host: HostId,
        query: str = 'glass',
        organisation: OrganisationId = HALVORSEN,
        budget: float = 0.5,
        service: ServiceId = JOBS,
        limit: int = 10,
        urgency: int = 0,
    ) -> Answer:
        """Send a search to a host and return the answer; budget is in seconds."""
        search = Search(
            request=RequestId(f'r{next(self._requests)}'),
            organisation=organisation,
            service=service,
            query=query,
            limit=limit,
            budget=Seconds(budget),
            urgency=urgency,
        )
        return await self.kernels[host].find(SEARCHES).search(search)

    async def book(
        self,
        host: HostId,
        key: str,
        content: str = 'resize ring',
        organisation: OrganisationId = HALVORSEN,
        budget: float = 1,
    ) -> Receipt:
        """Send a booking to a host and return the receipt; budget is in seconds."""
        booking = Booking(
            request=RequestId(f'r{next(self._requests)}'),
            organisation=organisation,
            service=DISPATCH,
            key=IdempotencyKey(key),
            content=content,
            budget=Seconds(budget),
        )
        return await self.kernels[host].find(BOOKINGS).book(booking)

    def cut_zone(self, prefix: str) -> list[HostId]:
        """Isolate the hosts with a name prefix from all other hosts; return them."""
        inside = [host for host in self.kernels if host.startswith(prefix)]
        for host in self.kernels:
            for other in inside:
                if host not in inside:
                    self.network.cut(host, other)
        return inside

    def step_clock(self, seconds: float) -> None:
        """Step the wall clock of every host by some seconds until the tier ends."""
        real = time.time
        self._patches.append(patch('time.time', lambda: real() + seconds))
        self._patches[-1].start()

    def total(self, metric: Metric, label: str | None = None) -> float:
        """Return a counter summed over all hosts."""
        return sum(
            kernel.find(COUNTERS).total(metric, label)
            for kernel in self.kernels.values()
        )

    def executions(self, content: str) -> int:
        """Return how often upstreams ran a booking."""
        return sum(
            upstream.stats.executions[content]
            for upstream in self.environment.upstreams.values()
        )
