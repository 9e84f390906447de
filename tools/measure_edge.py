"""Measure what hosts on the users' platform cost: control by fleet size, and each part.

Runs hosts in one process on virtual time over fakes, so that the figures are processor
time of this package and its event loop without sockets. Run it as
`python -m tools.measure_edge`.
"""

import asyncio
import logging
import time

import looptime
import structlog

from rattanspoke.contracts import COUNTERS, Metric
from rattanspoke.peering import encode_bundle
from tests.edges import SETTLE_SECONDS, Edge, build_route, build_shard_route

IDLE_SECONDS = 30  # of virtual time, over which control is measured
SEARCHES = 300
FLEETS = (4, 28, 68)
SHARDS = tuple(f'shard-{number}' for number in range(36))
CONTROL_SLOPE_HOSTS = 28


async def measure_control(hosts: int) -> dict[str, float]:
    """Return what one idle host costs a second, with its store calls and bundles."""
    async with Edge(hosts=hosts) as edge:
        edge.add_service('one')
        edge.configure(build_route('one'))
        await asyncio.sleep(SETTLE_SECONDS * 2)
        edge.store.calls.clear()
        sent = sum(count_bundles(edge))
        began = time.process_time()
        await asyncio.sleep(IDLE_SECONDS)
        took = time.process_time() - began
        bundles = sum(count_bundles(edge)) - sent
        shares = hosts * IDLE_SECONDS
        return {
            'processor us a host and second': took / shares * 1e6,
            'store calls a second, whole fleet': sum(edge.store.calls.values())
            / IDLE_SECONDS,
            'bundles a host and second': bundles / shares,
        }


def count_bundles(edge: Edge) -> list[float]:
    """Return the bundles that each host has sent to peers."""
    return [
        kernel.find(COUNTERS).total(Metric.PEER_BUNDLES)
        for kernel in edge.kernels.values()
    ]


async def measure_parts() -> dict[str, float]:
    """Return the processor time of a part of a search, from routing to merging."""
    async with Edge(hosts=1) as edge:
        for shard in SHARDS:
            edge.add_service(shard)
        edge.configure(build_shard_route(SHARDS, maxAttempts=2))
        await asyncio.sleep(SETTLE_SECONDS)
        began = time.process_time()
        for _ in range(SEARCHES):
            await edge.ask('host-0', '/all/x')
        took = time.process_time() - began
        return {'processor us a part': took / SEARCHES / len(SHARDS) * 1e6}


async def measure_pulse() -> dict[str, float]:
    """Return the size of a pulse with its bundle."""
    sizes: list[int] = []

    def weigh(bundle: object) -> object:
        wire = encode_bundle(bundle)
        sizes.append(len(wire.SerializeToString()))
        return wire

    async with Edge(hosts=CONTROL_SLOPE_HOSTS) as edge:
        edge.add_service('one')
        edge.configure(build_route('one'))
        await asyncio.sleep(SETTLE_SECONDS * 2)
        import rattanspoke.standins._local as local

        local.encode_bundle = weigh
        await asyncio.sleep(2)
    return {'pulse: bytes of its bundle, mean': sum(sizes) / len(sizes)}


def main() -> None:
    """Print every figure."""
    logging.disable(logging.CRITICAL)
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger('critical'))
    for hosts in FLEETS:
        print(f'{hosts} hosts')
        show(measure_control(hosts))
    show(measure_parts())
    show(measure_pulse())


def show(measuring: object) -> None:
    """Run a measurement on virtual time and print its figures."""
    loop = looptime.new_event_loop(start=1000, noop_cycles=1)
    asyncio.set_event_loop(loop)
    for name, value in loop.run_until_complete(measuring).items():
        print(f'  {name:44} {value:12.2f}')
    loop.close()


if __name__ == '__main__':
    main()
