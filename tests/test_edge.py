"""Hosts on the users' platform: routes, answers, refusals and the shared state."""

import asyncio
from dataclasses import replace

import pytest

from rattanspoke.contracts import (
    FLEET,
    RULES,
    SHARED_STATE,
    STATE_REPLICATION,
    RetryBudgetRule,
)
from rattanspoke.decisions import STORE_WATCHERS, WATCH_WAIT, choose_watchers
from rattanspoke.model import (
    Failed,
    Merged,
    Outcome,
    Reason,
    Refused,
    Rejected,
    Relayed,
    StateKind,
)

from .edges import SETTLE_SECONDS, ZONES, Edge, build_route, build_shard_route

# Seconds within which upstreams whose registrations expired in an outage of the store
# register again, as the platform promises.
REREGISTRATION_BOUND = 2
SHARDS = tuple(f'shard-{number}' for number in range(10))


def add_shards(edge, **behaviour):
    """Register three upstreams for every shard."""
    for shard in SHARDS:
        edge.add_service(shard, **behaviour)


def test_request_goes_to_the_longest_prefix(run):
    """The route with the longest prefix is used; a path without a route is rejected."""

    async def scene():
        async with Edge(hosts=1) as edge:
            edge.add_service('wide')
            edge.add_service('narrow')
            edge.configure(build_route('wide', '/a/'), build_route('narrow', '/a/b/'))
            await asyncio.sleep(SETTLE_SECONDS)
            wide = await edge.ask('host-0', '/a/x')
            narrow = await edge.ask('host-0', '/a/b/x?q=1')
            nowhere = await edge.ask('host-0', '/c/')
            assert wide.reply.upstream.startswith('wide')
            assert narrow.reply.upstream.startswith('narrow')
            assert nowhere == Rejected(Reason.UNKNOWN_ROUTE)

    run(scene())


def test_host_without_desired_state_refuses(run):
    """Without a desired state, requests are refused as not run and not rejected.

    A host that has just started cannot tell whether a route exists.
    """

    async def scene():
        async with Edge(hosts=1) as edge:
            answer = await edge.ask('host-0')
            assert isinstance(answer, Refused)
            assert answer.reason is Reason.NO_DESIRED_STATE
            assert not edge.kernels['host-0'].find(SHARED_STATE).is_complete

    run(scene())


def test_merged_answer_holds_the_top_records_of_all_shards(run):
    """Records of all shards are merged in descending order; duplicates are kept."""

    async def scene():
        async with Edge(hosts=1) as edge:
            add_shards(edge)
            for number, shard in enumerate(SHARDS):
                record = bytes([number // 2]) * 16
                for upstream in edge.by_service[shard]:
                    upstream.body = record + b'rest'
            edge.configure(build_shard_route(SHARDS))
            await asyncio.sleep(SETTLE_SECONDS)
            answer = await edge.ask('host-0', '/all/x')
            assert isinstance(answer, Merged)
            assert answer.missing == 0
            assert len(set(answer.seals)) == len(SHARDS)
            records = [bytes([number]) * 16 for number in (4, 4, 3, 3, 2)]
            assert answer.body == b''.join(records)

    run(scene())


def test_paused_replicas_are_hedged_in_time(run):
    """A hedge answers in time when a replica pauses for longer than the objective."""

    async def scene():
        async with Edge(hosts=1) as edge:
            add_shards(edge)
            edge.configure(build_shard_route(SHARDS))
            await asyncio.sleep(SETTLE_SECONDS)
            loop = asyncio.get_running_loop()
            for shard in SHARDS[:3]:
                edge.by_service[shard][0].pause_until = loop.time() + 0.5
            started_at = loop.time()
            answer = await edge.ask('host-0', '/all/x')
            assert answer.missing == 0
            assert loop.time() - started_at < 0.15

    run(scene())


def test_unresponsive_shard_is_omitted_at_the_latency_objective(run):
    """With enough shards the answer is sent shortly before the latency objective."""

    async def scene():
        async with Edge(hosts=1) as edge:
            add_shards(edge)
            for upstream in edge.by_service[SHARDS[0]]:
                upstream.is_unresponsive = True
            edge.configure(build_shard_route(SHARDS))
            await asyncio.sleep(SETTLE_SECONDS)
            started_at = asyncio.get_running_loop().time()
            answer = await edge.ask('host-0', '/all/x')
            elapsed = asyncio.get_running_loop().time() - started_at
            assert answer.missing == 1
            assert len(answer.seals) == len(SHARDS) - 1
            assert 0.15 < elapsed < 0.18

    run(scene())


def test_too_few_shards_fail_the_request(run):
    """Below the minimum coverage the request fails without a partial result."""

    async def scene():
        async with Edge(hosts=1) as edge:
            add_shards(edge)
            for shard in SHARDS[:5]:
                for upstream in edge.by_service[shard]:
                    upstream.fails = True
            edge.configure(build_shard_route(SHARDS))
            await asyncio.sleep(SETTLE_SECONDS)
            assert await edge.ask('host-0', '/all/x') == Failed(Reason.LOW_COVERAGE)

    run(scene())


@pytest.mark.parametrize('route_type', ['idempotent', 'non_idempotent'])
def test_broken_reply_is_retried_only_if_idempotent(run, route_type):
    """A request whose reply broke off is retried only if it is idempotent.

    It may have run.
    """

    async def scene():
        async with Edge(hosts=1) as edge:
            edge.add_service('one')
            for upstream in edge.by_service['one']:
                upstream.breaks = True
            edge.configure(build_route('one', routeType=route_type))
            await asyncio.sleep(SETTLE_SECONDS)
            answer = await edge.ask('host-0')
            assert answer == Failed(Reason.REPLY_BROKEN)
            sends = sum(len(each.arrivals) for each in edge.by_service['one'])
            assert sends == (2 if route_type == 'idempotent' else 1)

    run(scene())


@pytest.mark.parametrize('status', [200, 301, 404, 500])
def test_reply_without_a_seal_is_not_relayed(run, status):
    """It is not known whose reply it is; the request may have run.

    A success without a seal was once relayed as if it were a failure of the upstream.
    """

    async def scene():
        async with Edge(hosts=1) as edge:
            edge.add_service('one', status=status, is_sealed=False)
            edge.configure(build_route('one', routeType='non_idempotent'))
            await asyncio.sleep(SETTLE_SECONDS)
            answer = await edge.ask('host-0', method='POST')
            assert answer == Failed(Reason.REPLY_BROKEN)
            assert sum(len(each.arrivals) for each in edge.by_service['one']) == 1

    run(scene())


@pytest.mark.parametrize('route_type', ['idempotent', 'non_idempotent'])
def test_refusal_without_proof_is_not_relayed(run, route_type):
    """A sealed 503 would tell the caller that its request has not run.

    Only the upstream's own header proves that, so the caller is told nothing.
    """

    async def scene():
        async with Edge(hosts=1) as edge:
            edge.add_service('one', status=503)
            edge.configure(build_route('one', routeType=route_type))
            await asyncio.sleep(SETTLE_SECONDS)
            answer = await edge.ask('host-0', method='POST')
            assert answer == Failed(Reason.UPSTREAM_FAILED)

    run(scene())


def test_reply_without_a_seal_is_retried_if_idempotent(run):
    """The sealed reply of another upstream is relayed instead."""

    async def scene():
        async with Edge(hosts=1) as edge:
            edge.add_service('one', is_sealed=False)
            edge.by_service['one'][2].is_sealed = True
            edge.configure(build_route('one', maxAttempts=3))
            await asyncio.sleep(SETTLE_SECONDS)
            for _ in range(6):
                answer = await edge.ask('host-0')
                assert answer.reply.upstream == 'one-2'

    run(scene())


def test_shed_non_idempotent_request_is_retried(run):
    """A request that an upstream certainly did not run is sent to another upstream.

    This holds for non-idempotent requests too, within the attempts of the route.
    """

    async def scene():
        async with Edge(hosts=1) as edge:
            edge.add_service('one')
            edge.by_service['one'][0].sheds = True
            edge.configure(build_route('one', routeType='non_idempotent'))
            await asyncio.sleep(SETTLE_SECONDS)
            for _ in range(5):
                answer = await edge.ask('host-0')
                assert isinstance(answer, Relayed)
                assert answer.reply.outcome is Outcome.RAN

    run(scene())


def test_refusal_has_a_retry_after(run):
    """With no reachable upstream a request is refused at once with a retry-after."""

    async def scene():
        async with Edge(hosts=1) as edge:
            edge.add_service('one', is_down=True)
            route = build_route('one', routeType='non_idempotent', targetLatencyMs=50)
            edge.configure(route)
            await asyncio.sleep(SETTLE_SECONDS)
            for _ in range(4):
                started_at = asyncio.get_running_loop().time()
                answer = await edge.ask('host-0')
                assert isinstance(answer, Refused)
                assert answer.retry_after > 0
                assert asyncio.get_running_loop().time() - started_at < 0.1

    run(scene())


def test_attempts_stay_within_the_limit_of_the_route(run):
    """Hedges and retries together do not exceed the attempts that the route allows."""

    async def scene():
        async with Edge(hosts=1) as edge:
            edge.add_service('one', replicas=6, work=0.3)
            edge.configure(build_route('one', maxAttempts=1))
            await asyncio.sleep(SETTLE_SECONDS)
            await asyncio.gather(*(edge.ask('host-0') for _ in range(10)))
            sends = sum(len(each.arrivals) for each in edge.by_service['one'])
            assert sends == 10

    run(scene())


def test_extra_sends_stay_within_the_budget(run):
    """With all upstreams slow, all hosts together stay within the retry budget.

    The limit is the ratio of the requests plus the slack.
    """

    async def scene():
        async with Edge(hosts=3) as edge:
            edge.add_service('one', replicas=9, slots=50, work=0.02)
            edge.configure(build_route('one', maxAttempts=3), maxConnections=500)
            await asyncio.sleep(SETTLE_SECONDS)
            for _ in range(100):
                await edge.ask('host-0')
            for upstream in edge.by_service['one']:
                upstream.work = 0.4
                upstream.arrivals.clear()
            requests = 900
            pending = []
            for number in range(requests):
                pending.append(
                    asyncio.ensure_future(edge.ask(f'host-{number % 3}', limit=5))
                )
                await asyncio.sleep(0.01)
            await asyncio.gather(*pending)
            sends = sum(len(each.arrivals) for each in edge.by_service['one'])
            assert sends - requests <= 0.2 * requests + 52

    run(scene())


def test_changed_rules_apply_at_once(run):
    """Replacing the rules while a host runs takes effect on its retry budgets."""

    async def scene():
        async with Edge(hosts=1) as edge:
            edge.add_service('one', fails=True)
            edge.configure(build_route('one', maxAttempts=3))
            await asyncio.sleep(SETTLE_SECONDS)
            await edge.ask('host-0')
            rules = edge.kernels['host-0'].find(RULES)
            rules.replace(replace(rules.current, retry_budget=RetryBudgetRule(0, 0)))
            for _ in range(5):
                await edge.ask('host-0')
                await asyncio.sleep(1)
            before = sum(len(each.arrivals) for each in edge.by_service['one'])
            for _ in range(5):
                await edge.ask('host-0')
                await asyncio.sleep(1)
            after = sum(len(each.arrivals) for each in edge.by_service['one'])
            assert after - before == 5

    run(scene())


def test_cancelled_request_aborts_upstream_calls(run):
    """Cancelling a request, as on a disconnect of its caller, aborts upstream calls."""

    async def scene():
        async with Edge(hosts=1) as edge:
            add_shards(edge, work=0.5)
            edge.configure(build_shard_route(SHARDS, targetLatencyMs=1000))
            await asyncio.sleep(SETTLE_SECONDS)
            request_task = asyncio.ensure_future(edge.ask('host-0', '/all/x'))
            await asyncio.sleep(0.05)
            request_task.cancel()
            await asyncio.sleep(0.1)
            running = [each.name for each in edge.upstreams.values() if each.running]
            aborted = sum(each.aborted_calls for each in edge.upstreams.values())
            assert aborted == len(SHARDS), running

    run(scene())


def test_traffic_split_is_exact(run):
    """A traffic split divides requests by weight, off by at most one request."""

    async def scene():
        async with Edge(hosts=1) as edge:
            edge.add_service('old')
            edge.add_service('new')
            split = [
                {'service': 'old', 'weight': 3},
                {'service': 'new', 'weight': 1},
            ]
            edge.configure(build_route('', trafficSplit=split, maxAttempts=1))
            await asyncio.sleep(SETTLE_SECONDS)
            await asyncio.gather(*(edge.ask('host-0') for _ in range(40)))
            sends = {
                service: sum(len(each.arrivals) for each in upstreams)
                for service, upstreams in edge.by_service.items()
            }
            assert sends['old'] == 30
            assert sends['new'] == 10

    run(scene())


def test_draining_or_evacuated_upstream_receives_no_requests(run):
    """Draining upstreams and those of evacuated zones receive no new requests.

    Requests resume when the evacuation of the zone ends.
    """

    async def scene():
        async with Edge(hosts=3) as edge:
            edge.add_service('one')
            edge.configure(build_route('one'))
            await asyncio.sleep(SETTLE_SECONDS)
            draining, evacuated, remaining = edge.by_service['one']
            entry = draining.register(state='draining')
            edge.store.put('registrations', draining.name, entry)
            edge.store.put('evacuated zones', evacuated.zone, b'{}')
            await asyncio.sleep(0.2)
            for host in edge.kernels:
                for _ in range(10):
                    await edge.ask(host)
            assert not draining.arrivals
            assert not evacuated.arrivals
            assert len(remaining.arrivals) == 30
            edge.store.put('evacuated zones', evacuated.zone, None)
            await asyncio.sleep(0.2)
            for host in edge.kernels:
                await asyncio.gather(*(edge.ask(host) for _ in range(8)))
            assert evacuated.arrivals

    run(scene())


def test_state_updates_arrive_while_the_store_fails_its_watchers(run):
    """When the store fails for the chosen watchers, other hosts take over the watch.

    Otherwise all hosts would rely on watchers that cannot read the store, and state
    updates would arrive late.
    """

    async def scene():
        async with Edge(hosts=4) as edge:
            edge.add_service('one')
            edge.configure(build_route('one'))
            await asyncio.sleep(2 * SETTLE_SECONDS)
            live = edge.kernels['host-0'].find(FLEET).live_hosts()
            for watcher in choose_watchers(live):
                edge.stores[watcher].is_partitioned = True
            await asyncio.sleep(WATCH_WAIT + 2)
            for _ in range(12):
                version = edge.configure(build_route('one'))
                await asyncio.sleep(1)
                for kernel in edge.kernels.values():
                    assert kernel.find(SHARED_STATE).desired.version == version

    run(scene())


def test_host_without_the_store_gets_state_from_peers(run):
    """A host that is cut off from the store receives state updates from its peers."""

    async def scene():
        async with Edge(hosts=3) as edge:
            edge.add_service('one')
            edge.add_service('two')
            edge.configure(build_route('one'))
            await asyncio.sleep(SETTLE_SECONDS)
            edge.stores['host-1'].is_partitioned = True
            version = edge.configure(build_route('two'))
            await asyncio.sleep(1)
            for kernel in edge.kernels.values():
                assert kernel.find(SHARED_STATE).desired.version == version

    run(scene())


def test_host_that_starts_without_the_store_gets_state_from_a_seed(run):
    """A host that starts while the store is down gets a snapshot from a seed host."""

    async def scene():
        async with Edge(hosts=2) as edge:
            edge.add_service('one')
            edge.add_service('gone')
            version = edge.configure(build_route('one'))
            await asyncio.sleep(SETTLE_SECONDS)
            edge.store.put('registrations', 'gone-0', None)
            await asyncio.sleep(0.5)
            edge.store.set_down(is_down=True)
            kernel = await edge.start('late', 'south', seeds=['host-0'])
            await asyncio.sleep(2)
            state = kernel.find(SHARED_STATE)
            assert state.is_complete
            assert state.desired.version == version
            answer = await edge.ask('late')
            assert isinstance(answer, Relayed)

    run(scene())


def test_only_two_hosts_watch_the_store(run):
    """Two of six hosts watch the store; when both stop, other hosts take over."""

    async def scene():
        async with Edge(hosts=6) as edge:
            edge.add_service('one')
            edge.configure(build_route('one'))
            await asyncio.sleep(SETTLE_SECONDS)
            watchers = [
                host
                for host, kernel in edge.kernels.items()
                if not kernel.find(STATE_REPLICATION).can_rely_on_peers()
            ]
            assert len(watchers) == 2
            for host in watchers:
                await edge.stop(host)
            await asyncio.sleep(2)
            version = edge.configure(build_route('one', timeoutMs=900))
            await asyncio.sleep(1)
            for kernel in edge.kernels.values():
                assert kernel.find(SHARED_STATE).desired.version == version
                assert len(kernel.find(FLEET).live_hosts()) == 4

    run(scene())


def test_unreadable_registration_is_ignored(run):
    """A registration that cannot be decoded is ignored; the others are used."""

    async def scene():
        async with Edge(hosts=1) as edge:
            edge.add_service('one', replicas=1)
            edge.configure(build_route('one'))
            for number, entry in enumerate(
                (b'null', b'[1]', b'{"service": 3}', b'"text"', b'{"state": "odd"}')
            ):
                edge.store.put('registrations', f'odd-{number}', entry)
            await asyncio.sleep(SETTLE_SECONDS)
            answer = await edge.ask('host-0')
            assert answer.reply.upstream == 'one-0'

    run(scene())


def test_upstreams_are_retained_when_many_registrations_expire(run):
    """Upstreams whose registrations expired in an outage are retained for a while.

    All registrations of a service expire while the store is down. Requests still go to
    its upstreams until those have registered again. An upstream that does not register
    again receives no more requests after that.
    """

    async def scene():
        async with Edge(hosts=3) as edge:
            edge.add_service('one')
            edge.configure(build_route('one'))
            await asyncio.sleep(SETTLE_SECONDS)
            edge.store.set_down(is_down=True)
            for upstream in edge.by_service['one']:
                edge.store.put('registrations', upstream.name, None)
            await asyncio.sleep(3)
            edge.store.set_down(is_down=False)
            loop = asyncio.get_running_loop()
            recovered_at = loop.time()
            while loop.time() < recovered_at + REREGISTRATION_BOUND:
                for host in edge.kernels:
                    assert isinstance(await edge.ask(host), Relayed)
                await asyncio.sleep(0.1)
            for upstream in edge.by_service['one'][:2]:
                edge.store.put('registrations', upstream.name, upstream.register())
            await asyncio.sleep(1.5)
            gone = edge.by_service['one'][2]
            gone.arrivals.clear()
            for host in edge.kernels:
                for _ in range(5):
                    assert isinstance(await edge.ask(host), Relayed)
            assert not gone.arrivals

    run(scene())


def test_single_upstream_that_vanishes_is_dropped_at_once(run):
    """A single upstream whose registration vanishes gets no more requests at once.

    It is taken to have shut down. The host may have learned of it late, so it must not
    retain the upstream for longer.
    """

    async def scene():
        async with Edge(hosts=3) as edge:
            add_shards(edge)
            edge.configure(build_shard_route(SHARDS))
            await asyncio.sleep(SETTLE_SECONDS)
            gone = edge.by_service[SHARDS[0]][0]
            edge.store.put('registrations', gone.name, None)
            await asyncio.sleep(0.5)
            gone.arrivals.clear()
            for host in edge.kernels:
                for _ in range(5):
                    answer = await edge.ask(host, '/all/x')
                    assert answer.missing == 0
            assert not gone.arrivals

    run(scene())


@pytest.mark.parametrize('hosts', [6, 28])
def test_calls_to_the_store_do_not_grow_with_the_fleet(run, hosts):
    """Without changes, the calls to the store are those of the two watchers only."""

    async def scene():
        async with Edge(hosts=hosts) as edge:
            edge.add_service('one')
            edge.configure(build_route('one'))
            await asyncio.sleep(2 * SETTLE_SECONDS)
            edge.store.calls.clear()
            await asyncio.sleep(20)
            watches = len(StateKind) * STORE_WATCHERS * 20 / WATCH_WAIT
            assert sum(edge.store.calls.values()) <= watches

    run(scene())


def test_request_to_a_host_that_just_started_waits_for_the_state(run):
    """A request is not refused while its host reads the store for the first time."""

    async def scene():
        async with Edge(hosts=1) as edge:
            edge.add_service('one')
            edge.configure(build_route('one'))
            await asyncio.sleep(SETTLE_SECONDS)
            edge.store.faults.delay = 0.1
            await edge.start('new', 'west')
            assert isinstance(await edge.ask('new'), Relayed)

    run(scene())


def test_search_that_cannot_succeed_is_refused_at_once(run):
    """With too few shards reachable a search fails early, not at its deadline."""

    async def scene():
        async with Edge(hosts=1) as edge:
            add_shards(edge)
            edge.configure(build_shard_route(SHARDS, minimum=0.89))
            await asyncio.sleep(SETTLE_SECONDS)
            for shard in SHARDS[:2]:
                for upstream in edge.by_service[shard]:
                    upstream.is_unresponsive = True
            for _ in range(5):
                await edge.ask('host-0', '/all/x')
            for _ in range(5):
                started_at = asyncio.get_running_loop().time()
                answer = await edge.ask('host-0', '/all/x')
                assert isinstance(answer, Failed | Refused)
                assert asyncio.get_running_loop().time() - started_at < 0.45

    run(scene())


def test_caller_hears_of_a_failure_before_its_deadline(run):
    """A failure is answered before the deadline, when the caller still waits for it."""

    async def scene():
        async with Edge(hosts=1) as edge:
            add_shards(edge, work=5)
            edge.configure(build_shard_route(SHARDS))
            await asyncio.sleep(SETTLE_SECONDS)
            started_at = asyncio.get_running_loop().time()
            answer = await edge.ask('host-0', '/all/x', limit=1)
            assert isinstance(answer, Failed)
            assert asyncio.get_running_loop().time() - started_at < 0.99

    run(scene())


def test_hosts_without_a_direct_link_are_counted(run):
    """Twelve hosts in three zones list each other, and all remove one that is gone.

    Hosts exchange heartbeats with only some hosts of other zones; the rest they know
    from the lists in those heartbeats. The store entry is deleted, too.
    """

    async def scene():
        async with Edge(hosts=12) as edge:
            edge.add_service('one')
            edge.configure(build_route('one'))
            await asyncio.sleep(50)
            counts = [
                kernel.find(FLEET).known_host_count for kernel in edge.kernels.values()
            ]
            assert counts == [12] * 12
            entries = await edge.store.list_kind('hosts')
            assert len(entries.objects) == 12
            await edge.stop('host-11')
            await asyncio.sleep(50)
            counts = [
                kernel.find(FLEET).known_host_count for kernel in edge.kernels.values()
            ]
            assert counts == [11] * 11
            entries = await edge.store.list_kind('hosts')
            assert len(entries.objects) == 11

    run(scene())


def test_request_whose_every_upstream_failed_is_refused_at_once(run):
    """A request is refused once all upstreams were tried, as no other can serve it.

    It does not wait for the tried ones, although they may come back.
    """

    async def scene():
        async with Edge(hosts=1) as edge:
            edge.add_service('one', is_down=True)
            edge.configure(build_route('one'))
            await asyncio.sleep(SETTLE_SECONDS)
            started_at = asyncio.get_running_loop().time()
            answer = await edge.ask('host-0')
            assert isinstance(answer, Refused)
            assert asyncio.get_running_loop().time() - started_at < 0.1

    run(scene())


def test_requests_stay_in_the_regions_of_their_route(run):
    """Upstreams of other regions get nothing, also when those of the region fail."""

    async def scene():
        regions = dict(zip(ZONES, ('north', 'south', 'south'), strict=True))
        async with Edge(hosts=1, regions=regions) as edge:
            edge.add_service('jobs')
            edge.configure(build_route('jobs', allowedRegions=['north']))
            await asyncio.sleep(SETTLE_SECONDS)
            assert isinstance(await edge.ask('host-0'), Relayed)
            own, *others = edge.by_service['jobs']
            own.is_down = True
            assert not isinstance(await edge.ask('host-0'), Relayed)
            assert own.arrivals
            assert not any(each.arrivals for each in others)

    run(scene())


def test_connection_that_was_closed_while_idle_is_replaced(run):
    """A request meets no connection that the upstream has closed meanwhile."""

    async def scene():
        async with Edge(hosts=1) as edge:
            edge.add_service('jobs', replicas=1)
            edge.configure(build_route('jobs'))
            await asyncio.sleep(SETTLE_SECONDS)
            for _ in range(3):
                answer = await edge.ask('host-0')
                assert isinstance(answer, Relayed)
                edge.by_service['jobs'][0].closed_idle += 1

    run(scene())
