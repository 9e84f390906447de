"""The fault matrix: every fault at every step of a request, update or shutdown.

It lists the cells that are not covered too, with the reason. Print the rows with
`python -m tests.matrix`.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique

from rattanspoke.contracts import COUNTERS, Metric
from rattanspoke.model import IndexVersion, UpstreamId, ZoneRecord, ZoneState
from rattanspoke.standins import DISPATCH

from .tiers import Tier

FAULT_SECONDS = 4  # for which a fault lasts; a crash or a gone version is not undone


@unique
class Step(Enum):
    """Steps of a search, a booking, a configuration update and a shutdown.

    STEP_METRICS gives the counter that is incremented when a step is reached; the
    fault at a step without one is injected before the paths start.
    """

    SEARCH_BEGINS = 'search: accepted'
    SEARCH_SENT = 'search: first sub-request sent'
    SEARCH_RUNS = 'search: upstream called'
    SEARCH_REPLIED = 'search: first reply received'
    BOOKING_BEGINS = 'booking: accepted'
    BOOKING_CLAIMING = 'booking: claim requested'
    BOOKING_CLAIMED = 'booking: claim written'
    BOOKING_RUNS = 'booking: upstream called'
    RECORD_WRITTEN = 'configuration: record written'
    RECORD_ADOPTED = 'configuration: adopted by the first host'
    LEAVE_BEGINS = 'shutdown: requested'
    LEAVE_RELEASES = 'shutdown: seats released'


@unique
class Fault(Enum):
    """Faults; each value describes one in the printed table."""

    HOST_KILLED = 'a host is killed'
    HOST_RESTARTED = 'a host is killed and starts again'
    HOSTS_CUT = 'two hosts are cut off from each other'
    ONE_WAY_CUT = 'bundles pass in one direction only'
    ZONE_CUT = 'a zone is cut off from the others'
    UPSTREAM_CRASHED = 'an upstream crashes and returns cold'
    UPSTREAM_FROZEN = 'an upstream accepts calls and never replies'
    UPSTREAM_SLOW = 'an upstream is 20 times slower'
    UPSTREAM_DRAINING = 'an upstream drains'
    UPSTREAM_SHEDS = 'upstreams reject calls (load shedding)'
    REPLY_LOST = 'a connection breaks after the work ran'
    VERSION_GONE = 'an index version disappears from the upstreams'
    PLATFORM_DOWN = 'the platform is down'
    PLATFORM_SLOW = 'the platform is slow'
    WRITE_REPLY_LOST = 'replies to writes are lost'
    STALE_READS = 'reads are stale'
    OPERATORS_RACE = 'operators write conflicting records'
    CALLER_GONE = 'callers disconnect'
    CLOCK_STEP = "a host's clock steps back an hour"


# The counter that is incremented when a step is reached, by step.
STEP_METRICS: dict[Step, Metric] = {
    Step.SEARCH_SENT: Metric.SUB_REQUESTS,
    Step.SEARCH_RUNS: Metric.UPSTREAM_CALLS,
    Step.SEARCH_REPLIED: Metric.SUB_REPLIES,
    Step.BOOKING_CLAIMING: Metric.CLAIMS_ASKED,
    Step.BOOKING_CLAIMED: Metric.CLAIM_WRITES,
    Step.BOOKING_RUNS: Metric.UPSTREAM_CALLS,
    Step.RECORD_ADOPTED: Metric.RECORDS_ADOPTED,
    Step.LEAVE_RELEASES: Metric.SEAT_WRITES,
}
# Cells that the matrix does not run, with the reason or the tests that cover them.
UNCOVERED: dict[str, str] = {
    'a host is paused (SIGSTOP), at every step': (
        'all hosts of a matrix test share one process, which cannot be paused in part;'
        ' tests/test_processes.py pauses a host under load, not at chosen steps'
    ),
    'a query of death, at every step': (
        'tests/test_bookings.py and tests/test_reads.py, not at chosen steps'
    ),
    'an upstream becomes cold without a restart, at every step': (
        'tests/test_reads.py, not at chosen steps'
    ),
}


@dataclass
class Injector:
    """Inject a fault once, when its step is first reached after arming."""

    tier: Tier
    inject: Callable[[], None]
    is_armed: bool = False

    def arm(self, step: Step) -> None:
        """Inject the fault when any host increments the step's counter.

        Without such a counter, inject it now.
        """
        metric = STEP_METRICS.get(step)
        if metric is None:
            self.inject()
            return
        self.is_armed = True
        for kernel in self.tier.kernels.values():
            self._wrap(kernel.find(COUNTERS), metric)

    def _wrap(self, counters, metric: Metric) -> None:
        add = counters.add

        def add_and_inject(name, label='', amount=1):
            add(name, label, amount)
            if name is metric and self.is_armed:
                self.is_armed = False
                asyncio.get_running_loop().call_soon(self.inject)

        counters.add = add_and_inject


def inject_fault(fault: Fault, tier: Tier, callers: list[asyncio.Future]) -> None:
    """Inject a fault now; if it can be undone, undo it after FAULT_SECONDS."""
    loop = asyncio.get_running_loop()
    platform = tier.environment.platform
    first, second = list(tier.kernels)[:2]
    upstreams = tier.environment.upstreams
    searched = upstreams[UpstreamId('jobs-zone-a-0')]
    booking_upstreams = [
        each for each in upstreams.values() if each.record.service == DISPATCH
    ]
    match fault:
        case Fault.HOST_KILLED:
            tier.tasks.append(asyncio.ensure_future(tier.kill(first)))
        case Fault.HOST_RESTARTED:
            tier.tasks.append(asyncio.ensure_future(restart(tier, first)))
        case Fault.HOSTS_CUT | Fault.ONE_WAY_CUT:
            tier.network.cut(first, second, both=fault is Fault.HOSTS_CUT)
            loop.call_later(FAULT_SECONDS, tier.network.heal)
        case Fault.ZONE_CUT:
            tier.cut_zone('host-0')
            loop.call_later(FAULT_SECONDS, tier.network.heal)
        case Fault.UPSTREAM_CRASHED:
            for upstream in (searched, booking_upstreams[0]):
                upstream.crash()
        case Fault.UPSTREAM_FROZEN:
            for upstream in (searched, booking_upstreams[0]):
                set_temporarily(loop, upstream.behaviour, 'is_frozen', True, False)
        case Fault.UPSTREAM_SLOW:
            for upstream in (searched, booking_upstreams[0]):
                set_temporarily(loop, upstream.behaviour, 'slow_factor', 20, 1)
        case Fault.UPSTREAM_DRAINING:
            for upstream in (searched, booking_upstreams[0]):
                upstream.behaviour.leaving = True
                loop.call_later(FAULT_SECONDS, upstream.crash)
        case Fault.UPSTREAM_SHEDS:
            for upstream in (searched, *booking_upstreams):
                set_temporarily(loop, upstream.behaviour, 'shed', True, False)
        case Fault.REPLY_LOST:
            for upstream in booking_upstreams:
                set_temporarily(loop, upstream.behaviour, 'lose_replies', 1, 0)
        case Fault.VERSION_GONE:
            for upstream in upstreams.values():
                upstream.held.pop(IndexVersion(2), None)
        case Fault.PLATFORM_DOWN:
            platform.set_down(is_down=True)
            loop.call_later(FAULT_SECONDS, lambda: platform.set_down(is_down=False))
        case Fault.PLATFORM_SLOW:
            set_temporarily(loop, platform.faults, 'delay', 0.4, 0.002)
        case Fault.WRITE_REPLY_LOST:
            platform.faults.lose_replies = 2
        case Fault.STALE_READS:
            platform.faults.stale_reads = 3
            platform.faults.watches_to_fail = 3
        case Fault.OPERATORS_RACE:
            for state in (ZoneState.TAKEN_OUT, ZoneState.IN_SERVICE):
                record = ZoneRecord(zone='zone-c', state=state)
                tier.environment.write('zone', 'zone-c', record)
        case Fault.CALLER_GONE:
            for caller in callers:
                caller.cancel()
        case Fault.CLOCK_STEP:
            tier.step_clock(-3600)


def set_temporarily(loop, target, name, fault_value, normal_value) -> None:
    """Set an attribute, and reset it after FAULT_SECONDS."""
    setattr(target, name, fault_value)
    loop.call_later(FAULT_SECONDS, setattr, target, name, normal_value)


async def restart(tier: Tier, host) -> None:
    """Kill a host and start it again without any stored state."""
    await tier.kill(host)
    await tier.start(host, 'zone-a')


def print_rows() -> None:
    """Print the faults, the steps and the cells that are not covered."""
    print(f'{len(Fault)} faults at {len(Step)} steps: {len(Fault) * len(Step)} cells\n')
    for fault in Fault:
        print(f'- {fault.value}')
    print('\nat each of\n')
    for step in Step:
        print(f'- {step.value}')
    print('\nNot in the table:\n')
    for cell, coverage in UNCOVERED.items():
        print(f'- {cell}: {coverage}')


if __name__ == '__main__':
    print_rows()
