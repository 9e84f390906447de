"""Hosts that stop, restart, crash or are cut off by a network partition."""

import asyncio

import pytest

from rattanspoke.contracts import CATALOG, MEMBERS, SEATS
from rattanspoke.decisions import DEAD_AFTER, SELF_FENCE_AFTER, Membership
from rattanspoke.model import (
    HostId,
    HostState,
    Incarnation,
    ListedHost,
    Outcome,
    RequestError,
    Seconds,
    ZoneId,
    ZoneRecord,
    ZoneState,
)
from rattanspoke.standins import WERKBANK, Scenario, make_zone_id

from .loads import drive
from .tiers import Tier


def test_shutdown_under_load_completes_all_work(run):
    """The drain on SIGTERM completes every search and booking in flight."""

    async def scene():
        async with Tier(hosts_per_zone=2) as tier:
            leaving_host = tier.hosts[0]
            searches = [
                asyncio.ensure_future(tier.search(leaving_host, organisation=WERKBANK))
                for _ in range(20)
            ]
            bookings = [
                asyncio.ensure_future(tier.book(leaving_host, f'k{n}', content=f'w{n}'))
                for n in range(10)
            ]
            await asyncio.sleep(0.003)
            assert await tier.leave(leaving_host)
            for answer in await asyncio.gather(*searches):
                assert answer.missing == {}
            for number, receipt in enumerate(await asyncio.gather(*bookings)):
                assert receipt.outcome is Outcome.RAN
                assert tier.executions(f'w{number}') == 1

    run(scene())


def test_rolling_restart_fails_no_request(run):
    """Every host is restarted under load: no request fails, no upstream is overrun."""

    async def scene():
        async with Tier(hosts_per_zone=2) as tier:
            load = asyncio.ensure_future(
                drive(tier, rate=40, seconds=30, organisation=WERKBANK)
            )
            for number, host in enumerate(list(tier.hosts)):
                await tier.leave(host)
                await tier.start(host, make_zone_id(number // 2))
                await asyncio.sleep(4)
            report = await load
            assert not report.refusals
            assert report.coverage > 0.999
            for upstream in tier.environment.upstreams.values():
                assert upstream.stats.peak_in_flight <= upstream.record.slots

    run(scene())


@pytest.mark.parametrize('budget', [0.3, 1])
def test_killed_host_costs_others_little(run, budget):
    """A host is killed under load: the other hosts' answers soon cover all shards."""

    async def scene():
        async with Tier(hosts_per_zone=2) as tier:
            load = asyncio.ensure_future(
                drive(tier, rate=40, seconds=8, organisation=WERKBANK, budget=budget)
            )
            await asyncio.sleep(2)
            await tier.kill(tier.hosts[0])
            report = await load
            assert report.coverage > 0.98
            answer = await tier.search(tier.hosts[0], organisation=WERKBANK)
            assert answer.missing == {}

    run(scene())


def test_cut_off_zone_serves_what_it_can(run):
    """A zone that is cut off from other zones and the platform serves its own shards.

    Its answers name the shards they miss, and are complete again after the cut.
    """

    async def scene():
        async with Tier(hosts_per_zone=2) as tier:
            inside = tier.cut_zone('host-1')
            tier.environment.platform.set_down(is_down=True)
            await asyncio.sleep(20)
            answer = await tier.search(inside[0], organisation=WERKBANK)
            held = {
                shard
                for upstream in tier.environment.upstreams.values()
                if upstream.record.zone == 'zone-b'
                for shard in upstream.held.get(1, ())
            }
            assert set(answer.covered) == held
            outside = await tier.search(tier.hosts[0], organisation=WERKBANK)
            assert outside.missing == {}
            tier.network.heal()
            tier.environment.platform.set_down(is_down=False)
            await asyncio.sleep(8)
            whole = await tier.search(inside[0], organisation=WERKBANK)
            assert whole.missing == {}

    run(scene())


def test_zones_merge_without_a_reverted_record(run):
    """A record written during a partition is in force on every host after it.

    The hosts of the zone that was cut off must not bring the old record back.
    """

    async def scene():
        async with Tier(hosts_per_zone=2) as tier:
            tier.cut_zone('host-1')
            record = ZoneRecord(zone=ZoneId('zone-c'), state=ZoneState.TAKEN_OUT)
            tier.environment.write('zone', 'zone-c', record)
            await asyncio.sleep(5)
            tier.network.heal()
            await asyncio.sleep(5)
            for kernel in tier.kernels.values():
                zone = kernel.find(CATALOG).zone(ZoneId('zone-c'))
                assert zone.state is ZoneState.TAKEN_OUT

    run(scene())


def test_one_way_cut(run):
    """Bundles pass in one direction only: answers stay complete and limits hold."""

    async def scene():
        async with Tier(hosts_per_zone=2) as tier:
            tier.network.cut(tier.hosts[0], tier.hosts[2], both=False)
            report = await drive(
                tier, rate=30, seconds=6, organisation=WERKBANK, budget=0.5
            )
            assert report.coverage > 0.97
            answer = await tier.search(tier.hosts[0], organisation=WERKBANK)
            assert answer.missing == {}
            for upstream in tier.environment.upstreams.values():
                assert upstream.stats.peak_in_flight <= upstream.record.slots

    run(scene())


def test_isolated_host_stops_using_its_seats_before_they_are_taken(run):
    """A host cut off from both its zone and the platform stops using its seats.

    Otherwise it could still use seats that other hosts have taken over.
    """

    async def scene():
        scenario = Scenario(zones=1, replicas=1)
        async with Tier(scenario, hosts_per_zone=2) as tier:
            isolated, other = tier.hosts
            tier.network.cut(isolated, other)
            tier.environment.platform.set_down(is_down=True)
            await asyncio.sleep(SELF_FENCE_AFTER + 2)
            assert tier.kernels[isolated].find(MEMBERS).is_fenced()
            answer = await tier.search(isolated, organisation=WERKBANK)
            assert answer.covered == ()
            tier.environment.platform.set_down(is_down=False)
            tier.network.heal()
            await asyncio.sleep(5)
            assert not tier.kernels[isolated].find(MEMBERS).is_fenced()
            assert (await tier.search(isolated, organisation=WERKBANK)).missing == {}

    run(scene())


def test_restart_proves_the_earlier_incarnation_dead(run):
    """A host restarts under its name: each seat is held exactly once afterwards."""

    async def scene():
        scenario = Scenario(zones=1, replicas=1)
        async with Tier(scenario, hosts_per_zone=2) as tier:
            victim = tier.hosts[0]
            await tier.kill(victim)
            await tier.start(victim, ZoneId('zone-a'))
            await asyncio.sleep(6)
            for name, upstream in tier.environment.upstreams.items():
                held = [
                    seat
                    for kernel in tier.kernels.values()
                    for seat in kernel.find(SEATS).held(name)
                ]
                assert sorted(held) == list(range(upstream.record.slots))

    run(scene())


def test_silent_host_is_not_proven_dead():
    """Silence proves a host dead only if the platform's list has dropped it, too."""
    view = Membership(HostId('me'), ZoneId('z'))
    host = HostId('other')
    view.note_list([ListedHost(host, ZoneId('z'))], Seconds(0))
    view.note_heartbeat(host, ZoneId('z'), Incarnation('1'), Seconds(0), leaving=False)
    assert view.find_state(host, Seconds(1)) is HostState.LIVE
    assert view.find_state(host, Seconds(1000)) is HostState.SILENT
    view.note_list([], Seconds(1000))
    assert view.find_state(host, Seconds(1000)) is HostState.DEAD


def test_self_fence_comes_before_proof_of_death():
    """An isolated host stops using its seats well before others may take them over."""
    assert SELF_FENCE_AFTER * 2 < DEAD_AFTER


def test_booking_without_time_is_not_run(run):
    """A booking whose budget is too short to begin is NOT_RUN and has not run."""

    async def scene():
        async with Tier() as tier:
            try:
                await tier.book(tier.hosts[0], 'k', budget=0.0001)
            except RequestError as error:
                assert error.outcome is Outcome.NOT_RUN
                assert tier.executions('resize ring') == 0

    run(scene())
