"""Accepted configuration is in force everywhere within seconds and never reverts."""

import asyncio

import pytest

from rattanspoke.contracts import CATALOG, PLATFORM, WATCH
from rattanspoke.model import (
    HostId,
    PlatformConflict,
    PlatformUnavailable,
    Revision,
    StoredObject,
    ZoneId,
    ZoneRecord,
    ZoneState,
)
from rattanspoke.transports import RecordCodec

from .tiers import Tier

IN_FORCE = 3  # seconds within which a zone taken out must get no new work
ZONE = ZoneId('zone-b')


def set_zone(tier, state):
    """Write a zone's state as an operator does."""
    tier.environment.write('zone', ZONE, ZoneRecord(zone=ZONE, state=state))


def states(tier):
    """Return what every host has in force for the zone."""
    return {kernel.find(CATALOG).zone(ZONE).state for kernel in tier.kernels.values()}


async def searching(tier, stop):
    """Keep every host busy with searches until told to stop."""
    while not stop.is_set():
        await asyncio.gather(*(tier.search(host) for host in tier.hosts))
        await asyncio.sleep(0.1)


def calls_in_zone(tier, since):
    """Return the times of calls that began in the zone after a moment."""
    return [
        moment
        for upstream in tier.environment.upstreams.values()
        if upstream.record.zone == ZONE
        for moment in upstream.stats.call_start_times
        if moment > since
    ]


@pytest.mark.parametrize('fault', ['none', 'slow platform', 'own hosts cut off'])
def test_zone_taken_out_gets_no_new_work(run, fault):
    """Three seconds after the record no call begins in the zone, and coverage holds."""

    async def scene():
        async with Tier(hosts_per_zone=2) as tier:
            stop = asyncio.Event()
            load = asyncio.ensure_future(searching(tier, stop))
            await asyncio.sleep(1)
            if fault == 'slow platform':
                tier.environment.platform.faults.delay = 0.5
            if fault == 'own hosts cut off':
                cut_platform(tier, ['host-10', 'host-11'])
            set_zone(tier, ZoneState.TAKEN_OUT)
            written = asyncio.get_running_loop().time()
            await asyncio.sleep(10)
            stop.set()
            await load
            assert calls_in_zone(tier, written - 1)
            assert not calls_in_zone(tier, written + IN_FORCE)
            answer = await tier.search(tier.hosts[0])
            assert answer.missing == {}

    run(scene())


def cut_platform(tier, hosts):
    """Let some hosts' calls to the platform fail while others' succeed."""
    for host in hosts:
        watch = tier.kernels[HostId(host)].find(WATCH)
        watch._platform = DeadPlatform()


class DeadPlatform:
    """A platform that cannot be reached."""

    def __getattr__(self, name):
        async def fail(*args):
            await asyncio.sleep(0.1)
            raise PlatformUnavailable('cut off')

        return fail


def test_zone_returns_in_steps(run):
    """A zone that comes back gets no more than its cold upstreams bear."""

    async def scene():
        async with Tier(hosts_per_zone=2) as tier:
            stop = asyncio.Event()
            load = asyncio.ensure_future(searching(tier, stop))
            set_zone(tier, ZoneState.TAKEN_OUT)
            await asyncio.sleep(5)
            for upstream in tier.environment.upstreams.values():
                if upstream.record.zone == ZONE:
                    upstream.become_cold()
            set_zone(tier, ZoneState.IN_SERVICE)
            back = asyncio.get_running_loop().time()
            await asyncio.sleep(10)
            stop.set()
            await load
            assert calls_in_zone(tier, back)
            for upstream in tier.environment.upstreams.values():
                assert upstream.stats.calls_over_capacity == 0
                assert upstream.stats.crashes == 0

    run(scene())


def test_revisions_never_fall(run):
    """Stale reads, a peer behind and a fresh host in an outage revert nothing."""

    async def scene():
        async with Tier() as tier:
            seen = {}

            def check():
                for host, kernel in tier.kernels.items():
                    now = kernel.find(CATALOG).watermark
                    assert now >= seen.get(host, 0)
                    seen[host] = now

            for number in range(12):
                state = [ZoneState.TAKEN_OUT, ZoneState.IN_SERVICE][number % 2]
                set_zone(tier, state)
                tier.environment.platform.faults.stale_reads = number % 3
                if number % 4 == 1:
                    tier.environment.platform.forget_history()
                await asyncio.sleep(0.7)
                check()
            tier.environment.platform.set_down(is_down=True)
            await tier.kill(tier.hosts[0])
            seen.pop(HostId('host-00'))
            await tier.start(HostId('host-00'), ZoneId('zone-a'))
            await asyncio.sleep(IN_FORCE)
            check()
            marks = {kernel.find(CATALOG).watermark for kernel in tier.kernels.values()}
            assert len(marks) == 1
            assert states(tier) == {ZoneState.IN_SERVICE}

    run(scene())


def test_old_object_from_a_peer_is_ignored(run):
    """An object with an older revision than the one in force changes nothing."""

    async def scene():
        async with Tier() as tier:
            set_zone(tier, ZoneState.TAKEN_OUT)
            await asyncio.sleep(IN_FORCE)
            catalog = tier.kernels[tier.hosts[0]].find(CATALOG)
            content = RecordCodec().encode_record(ZoneRecord(zone=ZONE))
            old = StoredObject(
                kind='zone', name=ZONE, revision=Revision(1), content=content
            )
            catalog.adopt_range(Revision(0), Revision(1), (old,))
            catalog.adopt_list(Revision(1), (old,))
            assert catalog.zone(ZONE).state is ZoneState.TAKEN_OUT

    run(scene())


def test_invalid_record_leaves_the_last_good_one(run):
    """A record that breaks its schema is refused with a reason on every host."""

    async def scene():
        async with Tier() as tier:
            tier.environment.platform.put(
                'zone', ZONE, b'{"schema": 1, "state": "ajar"}'
            )
            await asyncio.sleep(IN_FORCE)
            assert states(tier) == {ZoneState.IN_SERVICE}
            reasons = {
                kernel.find(CATALOG).list_refused()[f'zone/{ZONE}'].reason
                for kernel in tier.kernels.values()
            }
            assert len(reasons) == 1
            assert 'state' in reasons.pop()
            stored = tier.environment.platform.find('status', f'zone.{ZONE}')
            assert stored is not None
            assert b'state' in stored.content

    run(scene())


def test_racing_operators(run):
    """Of two writes on the same revision one wins and the other is told."""

    async def scene():
        async with Tier() as tier:
            platform = tier.kernels[tier.hosts[0]].find(PLATFORM)
            stored = await platform.read('zone', ZONE)
            out = RecordCodec().encode_record(
                ZoneRecord(zone=ZONE, state=ZoneState.TAKEN_OUT)
            )
            endings = await asyncio.gather(
                platform.write('zone', ZONE, out, stored.revision),
                platform.write('zone', ZONE, stored.content, stored.revision),
                return_exceptions=True,
            )
            lost = [each for each in endings if isinstance(each, PlatformConflict)]
            assert len(lost) == 1
            await asyncio.sleep(IN_FORCE)
            assert len(states(tier)) == 1

    run(scene())


def test_few_hosts_hold_watches(run):
    """Two hosts of a zone watch the platform; the others hear of changes from them."""

    async def scene():
        async with Tier(hosts_per_zone=5) as tier:
            tier.environment.platform.calls.clear()
            await asyncio.sleep(60)
            calls = tier.environment.platform.calls
            zones = tier.scenario.zones
            assert calls['watch'] <= zones * 2 * 60 / 2 * 1.1
            assert calls['hosts'] <= zones * (2 * 60 / 2 + 3 * 60 / 30) * 1.2
            set_zone(tier, ZoneState.TAKEN_OUT)
            await asyncio.sleep(IN_FORCE)
            assert states(tier) == {ZoneState.TAKEN_OUT}

    run(scene())
