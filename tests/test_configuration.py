"""Records come into force on every host within seconds and are never reverted."""

import asyncio

import pytest

from rattanspoke.contracts import CATALOG, PLATFORM, WATCH
from rattanspoke.decisions import RecordReplica
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

PROPAGATION_LIMIT = 3  # seconds until a zone that is taken out gets no new work
ZONE = ZoneId('zone-b')


def set_zone(tier, state):
    """Write a zone record as an operator does."""
    tier.environment.write('zone', ZONE, ZoneRecord(zone=ZONE, state=state))


def find_zone_states(tier):
    """Return the set of the zone's states that are in force on the hosts."""
    return {kernel.find(CATALOG).zone(ZONE).state for kernel in tier.kernels.values()}


async def send_searches(tier, stop):
    """Send searches to every host until the event is set."""
    while not stop.is_set():
        await asyncio.gather(*(tier.search(host) for host in tier.hosts))
        await asyncio.sleep(0.1)


def list_calls_in_zone(tier, since):
    """Return the start times of calls to the zone's upstreams after a time."""
    return [
        started_at
        for upstream in tier.environment.upstreams.values()
        if upstream.record.zone == ZONE
        for started_at in upstream.stats.call_start_times
        if started_at > since
    ]


@pytest.mark.parametrize('fault', ['none', 'slow platform', 'own hosts cut off'])
def test_zone_taken_out_gets_no_new_work(run, fault):
    """No call starts in the zone 3 s after the write, and no shard goes missing.

    This holds while the platform is slow, and while some hosts cannot reach it.
    """

    async def scene():
        async with Tier(hosts_per_zone=2) as tier:
            stop = asyncio.Event()
            load = asyncio.ensure_future(send_searches(tier, stop))
            await asyncio.sleep(1)
            if fault == 'slow platform':
                tier.environment.platform.faults.delay = 0.5
            if fault == 'own hosts cut off':
                disconnect_platform(tier, ['host-10', 'host-11'])
            set_zone(tier, ZoneState.TAKEN_OUT)
            written_at = asyncio.get_running_loop().time()
            await asyncio.sleep(10)
            stop.set()
            await load
            assert list_calls_in_zone(tier, written_at - 1)
            assert not list_calls_in_zone(tier, written_at + PROPAGATION_LIMIT)
            answer = await tier.search(tier.hosts[0])
            assert answer.missing == {}

    run(scene())


def disconnect_platform(tier, hosts):
    """Make the platform unreachable for the watches of some hosts only."""
    for host in hosts:
        watch = tier.kernels[HostId(host)].find(WATCH)
        watch._platform = UnreachablePlatform()


class UnreachablePlatform:
    """A platform that cannot be reached."""

    def __getattr__(self, name):
        async def fail(*args):
            await asyncio.sleep(0.1)
            raise PlatformUnavailable('cut off')

        return fail


def test_zone_returns_in_steps(run):
    """A zone back in service gets no more work than its cold upstreams may get."""

    async def scene():
        async with Tier(hosts_per_zone=2) as tier:
            stop = asyncio.Event()
            load = asyncio.ensure_future(send_searches(tier, stop))
            set_zone(tier, ZoneState.TAKEN_OUT)
            await asyncio.sleep(5)
            for upstream in tier.environment.upstreams.values():
                if upstream.record.zone == ZONE:
                    upstream.become_cold()
            set_zone(tier, ZoneState.IN_SERVICE)
            restored_at = asyncio.get_running_loop().time()
            await asyncio.sleep(10)
            stop.set()
            await load
            assert list_calls_in_zone(tier, restored_at)
            for upstream in tier.environment.upstreams.values():
                assert upstream.stats.calls_over_capacity == 0
                assert upstream.stats.crashes == 0

    run(scene())


def test_revisions_never_fall(run):
    """The revision in force on a host never decreases.

    Causes of older revisions are stale reads, a lost watch history, peers that lag
    behind, and a host that restarts during an outage of the platform.
    """

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
            await asyncio.sleep(PROPAGATION_LIMIT)
            check()
            watermarks = {
                kernel.find(CATALOG).watermark for kernel in tier.kernels.values()
            }
            assert len(watermarks) == 1
            assert find_zone_states(tier) == {ZoneState.IN_SERVICE}

    run(scene())


def test_old_object_from_a_peer_is_ignored(run):
    """An object with an older revision than the one in force is ignored."""

    async def scene():
        async with Tier() as tier:
            set_zone(tier, ZoneState.TAKEN_OUT)
            await asyncio.sleep(PROPAGATION_LIMIT)
            catalog = tier.kernels[tier.hosts[0]].find(CATALOG)
            content = RecordCodec().encode_record(ZoneRecord(zone=ZONE))
            old = StoredObject(
                kind='zone', name=ZONE, revision=Revision(1), content=content
            )
            catalog.adopt_range(Revision(0), Revision(1), (old,))
            catalog.adopt_list(Revision(1), (old,))
            assert catalog.zone(ZONE).state is ZoneState.TAKEN_OUT

    run(scene())


def test_records_that_were_there_before_the_start_get_no_status(run):
    """Only a record that changed later, or is rejected, has a status to report."""

    async def scene():
        async with Tier() as tier:
            await asyncio.sleep(PROPAGATION_LIMIT)
            listing = await tier.environment.platform.list_kind('status')
            assert not listing.objects
            set_zone(tier, ZoneState.TAKEN_OUT)
            await asyncio.sleep(PROPAGATION_LIMIT)
            listing = await tier.environment.platform.list_kind('status')
            assert [each.name for each in listing.objects] == [f'zone.{ZONE}']

    run(scene())


def test_empty_object_that_a_listing_lacks_is_deleted():
    """An object without content is one like any other until a tombstone replaces it."""
    replica = RecordReplica(RecordCodec().decode_record)
    empty = StoredObject(kind='zone', name='a', revision=Revision(3), content=b'')
    replica.adopt([empty])
    replica.adopt_list(Revision(5), [])
    assert [each.content for each in replica.select_after(Revision(3))] == [None]


def test_invalid_record_leaves_the_last_good_one(run):
    """Every host rejects an invalid record for the same reason and keeps the old one.

    The reason is also written to the platform as a record status.
    """

    async def scene():
        async with Tier() as tier:
            tier.environment.platform.put(
                'zone', ZONE, b'{"schema": 1, "state": "ajar"}'
            )
            await asyncio.sleep(PROPAGATION_LIMIT)
            assert find_zone_states(tier) == {ZoneState.IN_SERVICE}
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
    """Of two concurrent writes on one revision, one fails with a conflict."""

    async def scene():
        async with Tier() as tier:
            platform = tier.kernels[tier.hosts[0]].find(PLATFORM)
            stored = await platform.read('zone', ZONE)
            taken_out = RecordCodec().encode_record(
                ZoneRecord(zone=ZONE, state=ZoneState.TAKEN_OUT)
            )
            results = await asyncio.gather(
                platform.write('zone', ZONE, taken_out, stored.revision),
                platform.write('zone', ZONE, stored.content, stored.revision),
                return_exceptions=True,
            )
            conflicts = [each for each in results if isinstance(each, PlatformConflict)]
            assert len(conflicts) == 1
            await asyncio.sleep(PROPAGATION_LIMIT)
            assert len(find_zone_states(tier)) == 1

    run(scene())


def test_few_hosts_hold_watches(run):
    """Two hosts of each zone watch the platform; the others get changes from peers."""

    async def scene():
        async with Tier(hosts_per_zone=5) as tier:
            tier.environment.platform.calls.clear()
            await asyncio.sleep(60)
            calls = tier.environment.platform.calls
            zones = tier.scenario.zones
            assert calls['watch'] <= zones * 2 * 60 / 2 * 1.1
            assert calls['hosts'] <= zones * (2 * 60 / 2 + 3 * 60 / 30) * 1.2
            set_zone(tier, ZoneState.TAKEN_OUT)
            await asyncio.sleep(PROPAGATION_LIMIT)
            assert find_zone_states(tier) == {ZoneState.TAKEN_OUT}

    run(scene())
