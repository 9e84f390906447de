"""Membership of large fleets: relays, rosters, cut links and the entries of hosts."""

import asyncio

from rattanspoke.contracts import (
    COUNTERS,
    FLEET,
    SHARED_STATE,
    STATE_REPLICATION,
    Metric,
)
from rattanspoke.decisions import (
    GONE_AFTER,
    STORE_WATCHERS,
    FleetView,
    choose_links,
    choose_relays,
)
from rattanspoke.model import (
    HOST_KIND,
    NO_REVISION,
    EdgeHeartbeat,
    HostId,
    Relayed,
    Seconds,
    ZoneId,
)
from rattanspoke.services import HostFleet, HostRegistry

from .edges import SETTLE_SECONDS, ZONES, Edge, build_route

LARGE_FLEET = 30  # hosts in three zones, of which eight in each are no relays
UPDATE_BOUND = 3  # seconds within which a change must be in force on every host


def list_zone(edge, zone):
    """Return the hosts of an edge in one of its zones."""
    return [
        host
        for number, host in enumerate(edge.kernels)
        if ZONES[number % len(ZONES)] == zone
    ]


async def are_updated(edge, version, hosts=None):
    """Wait up to UPDATE_BOUND; return whether hosts have a desired state."""
    for _ in range(UPDATE_BOUND * 10):
        await asyncio.sleep(0.1)
        states = [
            edge.kernels[host].find(SHARED_STATE) for host in hosts or edge.kernels
        ]
        if all(state.desired.version == version for state in states):
            return True
    return False


def list_counts(edge):
    """Return how many hosts each host knows."""
    return {kernel.find(FLEET).known_host_count for kernel in edge.kernels.values()}


def test_every_host_counts_a_large_fleet(run):
    """All hosts know all others, although most exchange heartbeats with two only."""

    async def scene():
        async with Edge(hosts=LARGE_FLEET) as edge:
            edge.add_service('one')
            edge.configure(build_route('one'))
            await asyncio.sleep(GONE_AFTER + 10)
            assert list_counts(edge) == {LARGE_FLEET}
            neighbours = [
                len(kernel.find(FLEET).neighbours()) for kernel in edge.kernels.values()
            ]
            assert neighbours.count(2) == LARGE_FLEET - 6
            for host in list_zone(edge, 'west'):
                await edge.stop(host)
            await asyncio.sleep(GONE_AFTER + 10)
            assert list_counts(edge) == {LARGE_FLEET - 10}

    run(scene())


def test_host_that_starts_without_the_store_counts_the_others(run):
    """It divides the limits by the number of all hosts, which a seed tells it."""

    async def scene():
        async with Edge(hosts=6) as edge:
            edge.add_service('one')
            edge.configure(build_route('one'))
            await asyncio.sleep(SETTLE_SECONDS)
            edge.store.faults.is_down = True
            kernel = await edge.start('new', ZONES[0], seeds=['host-0', 'host-1'])
            await asyncio.sleep(4)
            assert kernel.find(FLEET).known_host_count == 7

    run(scene())


def test_hosts_that_found_only_a_few_others_find_all(run, monkeypatch):
    """Hosts that start together learn of all others, though a slow seed lists few.

    Load pattern: the seeds get the first heartbeats of the whole fleet at once and
    answer late. Those who asked before know no other host of their own zone.
    """

    async def list_seeds(fleet):
        fleet.add_hosts({HostId('host-1'): ZoneId(ZONES[1])})
        return True

    async def never(registry):
        await asyncio.Event().wait()

    monkeypatch.setattr(HostFleet, 'ask_for_hosts', list_seeds)
    monkeypatch.setattr(HostRegistry, '_find_registered_hosts', never)

    async def scene():
        async with Edge(hosts=LARGE_FLEET, is_first_start=True) as edge:
            edge.add_service('one')
            edge.configure(build_route('one'))
            await asyncio.sleep(8)
            assert list_counts(edge) == {LARGE_FLEET}
            watchers = [
                host
                for host, kernel in edge.kernels.items()
                if kernel.find(FLEET).is_watcher
            ]
            assert len(watchers) == STORE_WATCHERS

    run(scene())


def test_heartbeats_of_a_host_do_not_grow_with_the_fleet(run):
    """A host that is no relay sends as many bundles in a large fleet as in a small one.

    Relays answer the hosts of their zone, at a bounded rate.
    """

    async def scene():
        async with Edge(hosts=LARGE_FLEET) as edge:
            edge.add_service('one')
            edge.configure(build_route('one'))
            await asyncio.sleep(2 * SETTLE_SECONDS)
            before = [count_bundles(kernel) for kernel in edge.kernels.values()]
            await asyncio.sleep(10)
            after = [count_bundles(kernel) for kernel in edge.kernels.values()]
            rates = sorted(
                (late - early) / 10 for early, late in zip(before, after, strict=True)
            )
            assert rates[LARGE_FLEET // 2] <= 6
            assert rates[-1] <= 60

    run(scene())


def count_bundles(kernel):
    """Return how many bundles a host has sent to its peers."""
    return kernel.find(COUNTERS).total(Metric.PEER_BUNDLES)


def test_updates_take_the_way_round_a_cut_between_two_zones(run):
    """Two zones that cannot reach each other get updates through the third."""

    async def scene():
        async with Edge(hosts=LARGE_FLEET) as edge:
            edge.add_service('one')
            edge.configure(build_route('one'))
            await asyncio.sleep(2 * SETTLE_SECONDS)
            for lost in ZONES:
                first, second = (zone for zone in ZONES if zone != lost)
                for one in list_zone(edge, first):
                    for other in list_zone(edge, second):
                        edge.network.cut(HostId(one), HostId(other))
                await asyncio.sleep(3)
                version = edge.configure(build_route('one'))
                assert await are_updated(edge, version)
                assert not any(
                    kernel.find(FLEET).is_isolated for kernel in edge.kernels.values()
                )
                edge.network.heal()
                await asyncio.sleep(3)

    run(scene())


def test_updates_arrive_when_relays_die(run):
    """Other hosts become relays when those of a zone die; updates arrive in time."""

    async def scene():
        async with Edge(hosts=LARGE_FLEET) as edge:
            edge.add_service('one')
            edge.configure(build_route('one'))
            await asyncio.sleep(2 * SETTLE_SECONDS)
            hosts = {
                HostId(host): ZoneId(zone)
                for zone in ZONES
                for host in list_zone(edge, zone)
            }
            for pair in choose_relays(hosts).values():
                for relay in pair:
                    await edge.stop(relay)
            version = edge.configure(build_route('one'))
            assert await are_updated(edge, version)

    run(scene())


def test_entry_that_was_deleted_while_its_host_lives_is_restored(run):
    """A host whose entry is missing in the store gets it back; stale ones are deleted.

    Its peers may have deleted it while a cut link made it seem gone.
    """

    async def scene():
        async with Edge(hosts=4) as edge:
            edge.add_service('one')
            edge.configure(build_route('one'))
            await asyncio.sleep(SETTLE_SECONDS)
            entry = await edge.store.read(HOST_KIND, 'host-2')
            edge.store.put(HOST_KIND, 'host-2', None)
            edge.store.put(
                HOST_KIND, 'no-such-host', entry.content.replace(b'-2', b'-9')
            )
            await asyncio.sleep(30)
            listing = await edge.store.list_kind(HOST_KIND)
            names = sorted(each.name for each in listing.objects)
            assert names == ['host-0', 'host-1', 'host-2', 'host-3']

    run(scene())


def test_restarted_host_does_not_use_upstreams_that_left(run):
    """A host that starts from a peer that is behind waits for the store's own state.

    The peer is cut off from the store and from the other hosts, so it still lists an
    upstream that has left.
    """

    async def scene():
        async with Edge(hosts=3) as edge:
            edge.add_service('one')
            edge.configure(build_route('one'))
            await asyncio.sleep(SETTLE_SECONDS)
            edge.stores['host-1'].is_partitioned = True
            for other in ('host-0', 'host-2'):
                edge.network.cut(HostId('host-1'), HostId(other))
            await asyncio.sleep(5)
            for number in (0, 1):
                edge.store.put('registrations', f'one-{number}', None)
            await asyncio.sleep(5)
            await edge.start('late', 'east', seeds=['host-1'])
            for other in ('host-0', 'host-2'):
                edge.network.cut(HostId('late'), HostId(other))
            for _ in range(20):
                answer = await edge.ask('late')
                assert isinstance(answer, Relayed)
                assert answer.reply.upstream == 'one-2'

    run(scene())


def test_host_serves_from_an_old_state_when_nothing_newer_is_reachable(run):
    """Without the store, a host that starts uses a peer's state after a short wait."""

    async def scene():
        async with Edge(hosts=1) as edge:
            edge.add_service('one')
            edge.configure(build_route('one'))
            await asyncio.sleep(SETTLE_SECONDS)
            edge.store.set_down(is_down=True)
            await asyncio.sleep(10)
            kernel = await edge.start('late', 'east', seeds=['host-0'])
            await asyncio.sleep(0.5)
            assert not kernel.find(SHARED_STATE).is_complete
            await asyncio.sleep(2)
            assert kernel.find(SHARED_STATE).is_complete
            assert not kernel.find(STATE_REPLICATION).can_rely_on_peers()
            assert isinstance(await edge.ask('late'), Relayed)

    run(scene())


def make_heartbeat(host, zone, **changes):
    """Return a heartbeat of a host."""
    return EdgeHeartbeat(
        host=HostId(host),
        zone=ZoneId(zone),
        revisions={},
        store_age=Seconds(0),
        **changes,
    )


def test_hosts_that_are_gone_do_not_live_on_in_rosters():
    """Relays that copied the same roster drop its hosts when their source is gone."""
    one = FleetView(HostId('a-1'), ZoneId('a'))
    other = FleetView(HostId('a-2'), ZoneId('a'))
    far = make_heartbeat('b-1', 'b')
    for view, peer in ((one, 'a-2'), (other, 'a-1')):
        view.note_heartbeat(far, Seconds(0))
        view.note_roster(HostId('b-1'), {ZoneId('b'): (HostId('b-1'), HostId('b-2'))})
        view.note_heartbeat(make_heartbeat(peer, 'a'), Seconds(0))
        view.refresh(Seconds(0), is_store_failing=False)
    for second in range(1, 40):
        for view, peer, source in ((one, 'a-2', other), (other, 'a-1', one)):
            view.note_heartbeat(make_heartbeat(peer, 'a'), Seconds(second))
            view.note_roster(HostId(peer), source.fleet_roster)
            view.refresh(Seconds(second), is_store_failing=False)
        if second < GONE_AFTER:
            assert set(one.known) == {'a-1', 'a-2', 'b-1', 'b-2'}
    assert set(one.known) == set(other.known) == {'a-1', 'a-2'}


def test_silent_and_leaving_hosts_are_no_relays():
    """A host links to the next in rank, and back again when the silent one is heard."""
    hosts = {HostId(f'a-{number}'): ZoneId('a') for number in range(6)}
    ranked = choose_relays(hosts)[ZoneId('a')]
    own = next(host for host in hosts if host not in ranked)
    view = FleetView(own, ZoneId('a'))
    for host, zone in hosts.items():
        view.add(host, zone, Seconds(0))
    view.refresh(Seconds(0), is_store_failing=False)
    assert view.links == choose_links(own, ZoneId('a'), {ZoneId('a'): ranked})
    first, second = ranked
    view.note_asked(first, Seconds(0))
    view.note_heartbeat(make_heartbeat(second, 'a', is_leaving=True), Seconds(2))
    view.refresh(Seconds(2), is_store_failing=False)
    assert not {first, second} & {*view.links}
    view.note_heartbeat(make_heartbeat(first, 'a'), Seconds(3))
    view.note_heartbeat(make_heartbeat(second, 'a'), Seconds(3))
    view.refresh(Seconds(3), is_store_failing=False)
    assert set(view.links) == {first, second}


def test_stale_listing_costs_no_full_call(run):
    """A host that restarts finds the others by a listing that may be stale."""

    async def scene():
        async with Edge(hosts=3) as edge:
            edge.add_service('one')
            edge.configure(build_route('one'))
            await asyncio.sleep(SETTLE_SECONDS)
            edge.store.calls.clear()
            await edge.start('late', 'east', seeds=['host-0'])
            await asyncio.sleep(SETTLE_SECONDS)
            assert edge.store.calls['stale list'] == 1
            assert edge.store.calls['list'] == edge.store.calls['hosts'] == 0
            assert edge.kernels['late'].find(SHARED_STATE).revision is not NO_REVISION

    run(scene())
