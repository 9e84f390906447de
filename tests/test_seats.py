"""Seats: hosts together never exceed an upstream's limits, even with stale views."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rattanspoke.contracts import SEATS
from rattanspoke.decisions import (
    SeatAssignmentView,
    choose_owners,
    find_surplus,
    propose_seats,
)
from rattanspoke.model import (
    HostId,
    Incarnation,
    SeatAssignmentRecord,
    UpstreamId,
    ZoneId,
    parse_holder_host,
)
from rattanspoke.standins import WERKBANK, Scenario

from .loads import drive
from .oracle import check_seats, check_upstreams
from .tiers import Tier

HOSTS = [HostId(f'h{number}') for number in range(5)]
SLOTS = {UpstreamId('u1'): 4, UpstreamId('u2'): 6, UpstreamId('u3'): 1}


@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(HOSTS),
            st.sets(st.sampled_from(HOSTS), min_size=1),
        ),
        min_size=1,
        max_size=12,
    )
)
def test_proposals_take_only_free_seats(steps):
    """Check that a host's proposal takes only free seats and frees only its own.

    Each step draws another set of hosts that the proposer takes to be live. A proposal
    that took another live host's seat would let two hosts use one seat.
    """
    record = SeatAssignmentRecord(zone=ZoneId('z'), seats={})
    for host, live in steps:
        view = SeatAssignmentView(
            host=host,
            incarnation=Incarnation('1'),
            live=frozenset(live | {host}),
            dead=frozenset(),
            slots=SLOTS,
        )
        proposed = propose_seats(record, view, find_surplus(record, view))
        for upstream, holders in proposed.seats.items():
            assert len(holders) == SLOTS[upstream]
            before = record.seats.get(upstream, (None,) * len(holders))
            for old, new in zip(before, holders, strict=True):
                if old != new:
                    assert old is None or parse_holder_host(old) == host
                    assert new is None or parse_holder_host(new) == host
        record = proposed


def test_one_upstream_has_few_owners():
    """Check that two hosts share an upstream's seats, however many a zone has."""
    hosts = [HostId(f'h{number}') for number in range(68)]
    assert len(choose_owners(UpstreamId('u'), hosts)) == 2


def test_joining_and_leaving_hosts_exceed_no_limit(run):
    """Check that seats move between hosts under load without exceeding a limit.

    A host that used a seat before the earlier holder closed its connection would send
    an upstream one call and one connection too many.
    """

    async def scene():
        async with Tier(Scenario(zones=1, replicas=1), hosts_per_zone=2) as tier:
            load = asyncio.ensure_future(drive(tier, rate=150, seconds=12))
            for step in range(3):
                await tier.start(HostId(f'extra-{step}'), ZoneId('zone-a'))
                await asyncio.sleep(2)
                check_seats(tier)
                await tier.leave(tier.hosts[0])
                await asyncio.sleep(2)
                check_seats(tier)
            await load
            check_upstreams(tier)

    run(scene())


@pytest.mark.parametrize('stale_reads', [0, 3])
def test_killed_host_is_replaced(run, stale_reads):
    """Check that the other hosts take over a host's seats once it is proven dead.

    Stale reads of the seat assignment record must not keep them from it.
    """

    async def scene():
        scenario = Scenario(zones=1, replicas=1)
        async with Tier(scenario, hosts_per_zone=2) as tier:
            tier.environment.platform.faults.stale_reads = stale_reads
            await tier.kill(tier.hosts[0])
            await asyncio.sleep(4)
            survivor = tier.kernels[tier.hosts[0]].find(SEATS)
            for upstream in tier.environment.upstreams.values():
                held = survivor.held(upstream.record.upstream)
                assert len(held) == upstream.record.slots
            check_upstreams(tier)

    run(scene())


def test_silent_host_keeps_its_seats(run):
    """Check that no host takes over the seats of a host that is only silent.

    A host that is cut off from its peers may still use its seats.
    """

    async def scene():
        scenario = Scenario(zones=1, replicas=1)
        async with Tier(scenario, hosts_per_zone=2) as tier:
            first, second = tier.hosts
            tier.network.cut(first, second)
            await asyncio.sleep(20)
            check_seats(tier)
            held = [
                seat
                for upstream in tier.environment.upstreams
                for seat in tier.kernels[first].find(SEATS).held(upstream)
            ]
            assert held

    run(scene())


def test_restart_during_an_outage_takes_over_its_own_seats(run):
    """Check that a host restarted during a platform outage serves again.

    It has no stored state: it learns the records from its peers, and uses the seats of
    its earlier incarnation without a write to the platform.
    """

    async def scene():
        scenario = Scenario(zones=1, replicas=1)
        async with Tier(scenario, hosts_per_zone=2) as tier:
            victim = tier.hosts[0]
            tier.environment.platform.set_down(is_down=True)
            await tier.kill(victim)
            await tier.start(victim, ZoneId('zone-a'))
            await asyncio.sleep(8)
            check_seats(tier)
            answer = await tier.search(victim)
            assert answer.missing == {}
            held = [
                seat
                for upstream in tier.environment.upstreams
                for seat in tier.kernels[victim].find(SEATS).held(upstream)
            ]
            assert held
            tier.environment.platform.set_down(is_down=False)
            await asyncio.sleep(8)
            check_seats(tier)
            check_upstreams(tier)

    run(scene())


def test_lost_reply_of_a_seat_assignment_write(run):
    """Check that a write whose reply is lost never lets two hosts use one seat.

    The host that released a seat does not learn that the write took effect; if it
    then resumed using the seat, it would share it with the next holder.
    """

    async def scene():
        scenario = Scenario(zones=1, replicas=1)
        async with Tier(scenario, hosts_per_zone=2) as tier:
            for number in range(6):
                tier.environment.platform.faults.lose_replies = 2
                await tier.start(HostId(f'extra-{number}'), ZoneId('zone-a'))
                for _ in range(20):
                    await asyncio.sleep(0.1)
                    check_seats(tier)
            check_upstreams(tier)

    run(scene())


def test_queued_work_does_not_wait_for_a_seat_that_moved(run):
    """Check that queued work is rerouted when the only usable seat changes hosts.

    While the upstreams are cold, one seat of each may be used. Work that kept waiting
    at the earlier owner would miss its deadline.
    """

    async def scene():
        scenario = Scenario(zones=1, replicas=1, ramp=60)
        async with Tier(scenario, hosts_per_zone=1) as tier:
            for upstream in tier.environment.upstreams.values():
                upstream.behaviour.median_latency = 0.3
            first = tier.hosts[0]
            searches = [
                asyncio.ensure_future(
                    tier.search(first, organisation=WERKBANK, budget=20)
                )
                for _ in range(20)
            ]
            await asyncio.sleep(0.1)
            await tier.start(HostId('extra'), ZoneId('zone-a'))
            for answer in await asyncio.gather(*searches):
                assert answer.missing == {}

    run(scene())
