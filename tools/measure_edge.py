"""Measure the cost of hosts on the users' platform: control traffic and searches.

Control traffic is what idle hosts exchange with each other and the store. The hosts run
in one process on virtual time and over fake transports, so the figures are processor
time of this package and its event loop, without sockets. Run:
python -m tools.measure_edge.
"""

import asyncio
import logging
import time

import looptime
import structlog

from rattanspoke.contracts import COUNTERS, Metric
from rattanspoke.peering import encode_bundle
from tests.edges import SETTLE_SECONDS, Edge, build_route, build_shard_route

IDLE_SECONDS = 30  # virtual time over which control traffic is measured
SEARCHES = 300
FLEETS = (4, 28, 68)
SHARDS = tuple(f'shard-{number}' for number in range(36))
CONTROL_SLOPE_HOSTS = 28


async def measure_control(hosts: int) -> dict[str, float]:
    """Return the processor time of an idle host and its rates of calls.

    Args:
        hosts: the number of hosts of the fleet.
    """
    async with Edge(hosts=hosts) as edge:
        edge.add_service('one')
        edge.configure(build_route('one'))
        await asyncio.sleep(SETTLE_SECONDS * 2)
        edge.store.calls.clear()
        sent = sum(count_bundles(edge))
        started_at = time.process_time()
        await asyncio.sleep(IDLE_SECONDS)
        elapsed = time.process_time() - started_at
        bundles = sum(count_bundles(edge)) - sent
        host_seconds = hosts * IDLE_SECONDS
        return {
            'processor us a host and second': elapsed / host_seconds * 1e6,
            'store calls a second, whole fleet': sum(edge.store.calls.values())
            / IDLE_SECONDS,
            'bundles a host and second': bundles / host_seconds,
        }


def count_bundles(edge: Edge) -> list[float]:
    """Return the number of bundles (message batches) that each host sent to peers."""
    return [
        kernel.find(COUNTERS).total(Metric.PEER_BUNDLES)
        for kernel in edge.kernels.values()
    ]


async def measure_parts() -> dict[str, float]:
    """Return the processor time per shard of a search, from routing to merging."""
    async with Edge(hosts=1) as edge:
        for shard in SHARDS:
            edge.add_service(shard)
        edge.configure(build_shard_route(SHARDS, maxAttempts=2))
        await asyncio.sleep(SETTLE_SECONDS)
        started_at = time.process_time()
        for _ in range(SEARCHES):
            await edge.ask('host-0', '/all/x')
        elapsed = time.process_time() - started_at
        return {'processor us a part': elapsed / SEARCHES / len(SHARDS) * 1e6}


async def measure_heartbeat() -> dict[str, float]:
    """Return the mean encoded size of a heartbeat with its bundle, in bytes."""
    sizes: list[int] = []

    def record_size(bundle: object) -> object:
        encoded = encode_bundle(bundle)
        sizes.append(len(encoded.SerializeToString()))
        return encoded

    async with Edge(hosts=CONTROL_SLOPE_HOSTS) as edge:
        edge.add_service('one')
        edge.configure(build_route('one'))
        await asyncio.sleep(SETTLE_SECONDS * 2)
        import rattanspoke.standins._local as local

        local.encode_bundle = record_size
        await asyncio.sleep(2)
    return {'heartbeat: bytes of its bundle, mean': sum(sizes) / len(sizes)}


def main() -> None:
    """Run every measurement and print its figures."""
    logging.disable(logging.CRITICAL)
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger('critical'))
    for hosts in FLEETS:
        print(f'{hosts} hosts')
        print_figures(measure_control(hosts))
    print_figures(measure_parts())
    print_figures(measure_heartbeat())


def print_figures(measurement: object) -> None:
    """Run a measurement on virtual time and print its figures."""
    loop = looptime.new_event_loop(start=1000, noop_cycles=1)
    asyncio.set_event_loop(loop)
    for name, value in loop.run_until_complete(measurement).items():
        print(f'  {name:44} {value:12.2f}')
    loop.close()


if __name__ == '__main__':
    main()
