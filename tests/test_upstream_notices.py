"""Upstreams that announce in their replies that they leave or want no requests.

Load pattern: a release or an overload while the store is unavailable, so that the
replies are all that a host hears of it.
"""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rattanspoke.contracts import COUNTERS, Metric
from rattanspoke.decisions import MAX_QUIET, UpstreamNotices
from rattanspoke.model import Incarnation, Merged, Reason, Refused, Relayed, Seconds

from .edges import DRAIN_TIME, SETTLE_SECONDS, Edge, build_route, build_shard_route

RATE = 0.02  # seconds between two requests to one host
SHARDS = tuple(f'shard-{number}' for number in range(5))
ONE = Incarnation('one@1')


async def press(edge, seconds, **options):
    """Send requests to every host at a steady rate; return the answers."""
    asked = []
    for _ in range(round(seconds / RATE)):
        for host in edge.kernels:
            asked.append(asyncio.ensure_future(edge.ask(host, **options)))
        await asyncio.sleep(RATE)
    return await asyncio.gather(*asked)


def cut_store(edge):
    """Cut every host off from the store."""
    for store in edge.stores.values():
        store.is_partitioned = True


def count(edge, metric):
    """Return a counter, summed over all hosts."""
    return sum(each.find(COUNTERS).total(metric) for each in edge.kernels.values())


@pytest.mark.parametrize('in_touch', [True, False])
@pytest.mark.parametrize('route_type', ['idempotent', 'non_idempotent'])
def test_leaving_upstream_gets_no_more_requests(run, in_touch, route_type):
    """The others serve everything, whether the store is in touch or not.

    The upstream's entry still says ready, and is written again by a late write.
    """

    async def scene():
        async with Edge(hosts=3) as edge:
            edge.add_service('one')
            edge.configure(build_route('one', routeType=route_type))
            await asyncio.sleep(SETTLE_SECONDS)
            if not in_touch:
                cut_store(edge)
            await press(edge, 1)
            leaving = edge.by_service['one'][0]
            leaving.is_leaving = True
            answers = await press(edge, 1)
            leaving.arrivals.clear()
            entry = leaving.register(sequence=9)
            edge.store.put('registrations', leaving.name, entry)
            answers += await press(edge, 2 * DRAIN_TIME)
            assert not leaving.arrivals
            assert all(isinstance(answer, Relayed) for answer in answers)
            assert count(edge, Metric.LEAVING_NOTICES)

    run(scene())


def test_last_upstreams_are_used_while_they_can_serve(run):
    """When all upstreams of a service leave, requests go on for a part of the drain.

    After that they are refused at once, as not run.
    """

    async def scene():
        async with Edge(hosts=1) as edge:
            edge.add_service('one', is_leaving=True)
            edge.configure(build_route('one', routeType='non_idempotent'))
            await asyncio.sleep(SETTLE_SECONDS)
            cut_store(edge)
            loop = asyncio.get_running_loop()
            answers = await press(edge, DRAIN_TIME / 3)
            assert all(isinstance(answer, Relayed) for answer in answers)
            first = min(each.arrivals[0][0] for each in edge.by_service['one'])
            await press(edge, 2 * DRAIN_TIME)
            last = max(each.arrivals[-1][0] for each in edge.by_service['one'])
            assert last - first < DRAIN_TIME
            asked_at = loop.time()
            answer = await edge.ask('host-0')
            assert loop.time() == asked_at
            assert isinstance(answer, Refused)
            assert answer.reason is Reason.NO_REPLICA
            assert 0 < answer.retry_after < 1.5

    run(scene())


def test_search_leaves_out_a_shard_whose_upstreams_left(run):
    """The part counts as missing at once, and the search does not wait for it."""

    async def scene():
        async with Edge(hosts=1) as edge:
            for shard in SHARDS:
                edge.add_service(shard)
            edge.configure(build_shard_route(SHARDS))
            await asyncio.sleep(SETTLE_SECONDS)
            cut_store(edge)
            for upstream in edge.by_service[SHARDS[0]]:
                upstream.is_leaving = True
            await press(edge, DRAIN_TIME, path='/all/x')
            loop = asyncio.get_running_loop()
            asked_at = loop.time()
            answer = await edge.ask('host-0', '/all/x')
            assert isinstance(answer, Merged)
            assert answer.missing == 1
            assert loop.time() - asked_at < 0.1

    run(scene())


@pytest.mark.parametrize('born', [0, 5])
def test_new_incarnation_is_used_at_once(run, born):
    """The notice of an earlier run does not hold for an upstream of the same name.

    Without a start time in its entry, the end of the entry ends the incarnation.
    """

    async def scene():
        async with Edge(hosts=2) as edge:
            edge.add_service('one', replicas=1, is_leaving=True)
            upstream = edge.by_service['one'][0]
            fields = {'born': born} if born else {}
            entry = upstream.register(**fields)
            edge.store.put('registrations', upstream.name, entry)
            edge.configure(build_route('one'))
            await asyncio.sleep(SETTLE_SECONDS)
            await press(edge, DRAIN_TIME)
            assert isinstance(await edge.ask('host-0'), Refused)
            edge.store.put('registrations', upstream.name, None)
            await asyncio.sleep(1)
            upstream.is_leaving = False
            fields = {'born': born + 1} if born else {}
            entry = upstream.register(**fields)
            edge.store.put('registrations', upstream.name, entry)
            await asyncio.sleep(0.5)
            for host in edge.kernels:
                assert isinstance(await edge.ask(host), Relayed)

    run(scene())


def test_lapse_of_the_entry_does_not_end_the_incarnation(run):
    """An entry that vanishes and is back with the same start is the same upstream."""

    async def scene():
        async with Edge(hosts=1) as edge:
            edge.add_service('one', replicas=2)
            leaving = edge.by_service['one'][0]
            entry = leaving.register(born=5)
            edge.store.put('registrations', leaving.name, entry)
            edge.configure(build_route('one'))
            await asyncio.sleep(SETTLE_SECONDS)
            leaving.is_leaving = True
            await press(edge, 1)
            for content in (None, entry):
                edge.store.put('registrations', leaving.name, content)
                await asyncio.sleep(1)
            leaving.arrivals.clear()
            answers = await press(edge, 2 * DRAIN_TIME)
            assert not leaving.arrivals
            assert all(isinstance(answer, Relayed) for answer in answers)

    run(scene())


@pytest.mark.parametrize('route_type', ['idempotent', 'non_idempotent'])
def test_overloaded_upstream_is_left_alone(run, route_type):
    """Neither new nor queued requests nor hedges reach it until the time has passed.

    After that, requests come back one at a time and not all at once.
    """
    quiet_time = 4

    async def scene():
        async with Edge(hosts=1) as edge:
            edge.add_service('one', work=0.05)
            edge.configure(build_route('one', routeType=route_type))
            await asyncio.sleep(SETTLE_SECONDS)
            overloaded = edge.by_service['one'][0]
            overloaded.sheds, overloaded.quiet_time = True, quiet_time
            loop = asyncio.get_running_loop()
            await press(edge, 0.5)
            refused_at = overloaded.arrivals[0][0]
            overloaded.sheds = False
            await press(edge, quiet_time - 0.7)
            assert all(at < refused_at + 0.5 for at, _ in overloaded.arrivals), (
                loop.time()
            )
            before = len(overloaded.arrivals)
            together = await asyncio.gather(
                *(edge.ask('host-0') for _ in range(3)), asyncio.sleep(1)
            )
            back = [at for at, _ in overloaded.arrivals[before:]]
            assert len(back) <= 1, back
            assert all(isinstance(answer, Relayed) for answer in together[:3])
            await press(edge, 2)
            assert len(overloaded.arrivals) > before + 3

    run(scene())


def test_caller_is_told_when_the_first_upstream_is_back(run):
    """When all upstreams want quiet, a request is refused at once, as not run."""

    async def scene():
        async with Edge(hosts=1) as edge:
            edge.add_service('one', sheds=True)
            for number, upstream in enumerate(edge.by_service['one']):
                upstream.quiet_time = 20 - 5 * number
            edge.configure(build_route('one', maxAttempts=3))
            await asyncio.sleep(SETTLE_SECONDS)
            await edge.ask('host-0')
            loop = asyncio.get_running_loop()
            asked_at = loop.time()
            answer = await edge.ask('host-0')
            assert loop.time() == asked_at
            assert isinstance(answer, Refused)
            assert 9 < answer.retry_after <= 10
            assert sum(len(each.arrivals) for each in edge.by_service['one']) == 3

    run(scene())


@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(
    st.lists(
        st.tuples(st.floats(0, 100), st.floats(-1, 1e12) | st.just(float('inf'))),
        min_size=1,
    )
)
def test_every_notice_holds_until_its_end(notices):
    """A later notice never shortens an earlier one, and none exceeds the limit."""
    registry = UpstreamNotices(DRAIN_TIME)
    now = Seconds(0)
    ends = []
    for gap, wait in notices:
        now = Seconds(now + gap)
        registry.note_quiet(ONE, Seconds(wait), now)
        ends.append(now + min(max(0, wait), MAX_QUIET))
        left = registry.measure_quiet(ONE, now)
        assert left == pytest.approx(max(ends) - now)
        assert left <= MAX_QUIET or left == pytest.approx(MAX_QUIET)
