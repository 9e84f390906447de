"""Load patterns of the users' platform, replayed on a virtual clock."""

import asyncio
from collections import Counter

from rattanspoke.contracts import READINESS
from rattanspoke.model import Merged, Refused, Relayed

from .edges import SETTLE_SECONDS, ZONES, Edge, build_route, build_shard_route

SHARDS = tuple(f'shard-{number}' for number in range(10))


async def replay(edge, rate, seconds, **ask):
    """Send requests at an even rate to each host in turn; return answers and times."""
    loop = asyncio.get_running_loop()
    hosts = list(edge.kernels)
    outcomes = []

    async def ask_once(number):
        began = loop.time()
        answer = await edge.ask(hosts[number % len(hosts)], **ask)
        outcomes.append((answer, loop.time() - began))

    asking = []
    for number in range(int(rate * seconds)):
        asking.append(asyncio.ensure_future(ask_once(number)))
        await asyncio.sleep(1 / rate)
    await asyncio.gather(*asking)
    return outcomes


def share_in_time(outcomes, kind, limit):
    """Return the fraction of answers of a type that came within a limit in seconds."""
    good = [took for answer, took in outcomes if isinstance(answer, kind)]
    return sum(took <= limit for took in good) / len(outcomes)


def arrivals(edge, service):
    """Return the number of requests that each upstream of a service received."""
    return [len(each.arrivals) for each in edge.by_service[service]]


def clear_arrivals(edge):
    """Start the count of arrivals at each upstream at zero again."""
    for upstream in edge.upstreams.values():
        upstream.arrivals.clear()


def test_slow_upstream_loses_its_traffic_and_gets_it_back(run):
    """An upstream that is slower for a while gets few requests until it recovers.

    It takes 220 ms in place of 20 ms for 6.5 s, then has 4 s to regain its traffic.
    """

    async def scene():
        async with Edge(hosts=3) as edge:
            edge.add_service('one', work=0.02)
            edge.configure(build_route('one', targetLatencyMs=100))
            await asyncio.sleep(SETTLE_SECONDS)
            await replay(edge, 60, 2)
            slow = edge.by_service['one'][0]
            slow.work = 0.22
            await replay(edge, 60, 0.5)
            clear_arrivals(edge)
            outcomes = await replay(edge, 60, 6)
            assert len(slow.arrivals) < 0.1 * 360
            assert share_in_time(outcomes, Relayed, 0.1) > 0.98
            slow.work = 0.02
            await replay(edge, 60, 4)
            clear_arrivals(edge)
            await replay(edge, 60, 2)
            assert len(slow.arrivals) > 0.2 * 120

    run(scene())


def test_slow_upstream_is_remembered_by_hosts_with_little_traffic(run):
    """Hosts that send 2.4 requests a second each keep the measured slowness of one.

    If slowness decayed in a fixed time, a host with little traffic would send every
    other call to the slow upstream. Of nine hosts, three share its zone: they send it
    less than 15 % of what it would get when healthy, and its share again afterwards.
    """

    async def scene():
        async with Edge(hosts=9) as edge:
            edge.add_service('one', work=0.02)
            edge.configure(build_route('one', targetLatencyMs=100))
            await asyncio.sleep(SETTLE_SECONDS)
            await replay(edge, 22, 3)
            slow = edge.by_service['one'][0]
            slow.work = 0.2
            await replay(edge, 22, 1)
            clear_arrivals(edge)
            asked = len(await replay(edge, 22, 7))
            assert len(slow.arrivals) < 0.15 * asked / 3
            slow.work = 0.02
            await replay(edge, 22, 6)
            clear_arrivals(edge)
            asked = len(await replay(edge, 22, 4))
            assert len(slow.arrivals) > 0.6 * asked / 3

    run(scene())


def test_second_hedge_reaches_the_replica_that_answers(run):
    """When two replicas of a shard pause, a second hedge reaches the third in time."""

    async def scene():
        async with Edge(hosts=1) as edge:
            for shard in SHARDS:
                edge.add_service(shard, work=0.01)
            edge.configure(build_shard_route(SHARDS, targetLatencyMs=72, maxAttempts=3))
            await asyncio.sleep(SETTLE_SECONDS)
            await replay(edge, 20, 2, path='/all/x')
            for shard in SHARDS[:3]:
                for upstream in edge.by_service[shard][:2]:
                    upstream.pause_until = asyncio.get_running_loop().time() + 0.5
            outcomes = await replay(edge, 1, 1, path='/all/x')
            assert share_in_time(outcomes, Merged, 0.072) == 1
            assert outcomes[0][0].missing == 0

    run(scene())


def test_upstream_that_fails_fast_attracts_no_traffic(run):
    """An upstream that fails within 0.5 ms gets less than 10 % of the requests.

    Its short latency and empty queue would otherwise make it the preferred replica.
    """

    async def scene():
        async with Edge(hosts=3) as edge:
            edge.add_service('one', work=0.02)
            edge.configure(build_route('one'))
            await asyncio.sleep(SETTLE_SECONDS)
            await replay(edge, 60, 1)
            failing = edge.by_service['one'][1]
            failing.fails, failing.work = True, 0.0005
            clear_arrivals(edge)
            outcomes = await replay(edge, 100, 5)
            assert len(failing.arrivals) < 0.1 * 500
            assert share_in_time(outcomes, Relayed, 0.2) > 0.99
            bad = [each for each in outcomes if not each[0].reply.is_success]
            assert not bad, (len(bad), bad[:3])

    run(scene())


def test_unresponsive_upstream_fails_no_request(run):
    """An upstream that accepts requests but never replies is detected and avoided."""

    async def scene():
        async with Edge(hosts=3) as edge:
            edge.add_service('one', work=0.02)
            edge.configure(build_route('one', targetLatencyMs=200))
            await asyncio.sleep(SETTLE_SECONDS)
            await replay(edge, 60, 1)
            unresponsive = edge.by_service['one'][2]
            unresponsive.is_unresponsive = True
            clear_arrivals(edge)
            outcomes = await replay(edge, 60, 5)
            assert share_in_time(outcomes, Relayed, 0.2) > 0.98
            assert len(unresponsive.arrivals) < 0.05 * 300

    run(scene())


def test_shedding_upstream_is_paused(run):
    """An upstream that sheds load gets fewer requests, and no request fails."""

    async def scene():
        async with Edge(hosts=3) as edge:
            edge.add_service('one', work=0.02)
            edge.configure(build_route('one', routeType='non_idempotent'))
            await asyncio.sleep(SETTLE_SECONDS)
            shedding = edge.by_service['one'][0]
            shedding.sheds = True
            outcomes = await replay(edge, 100, 4)
            assert share_in_time(outcomes, Relayed, 0.2) > 0.99
            assert len(shedding.arrivals) < 0.2 * 400

    run(scene())


def test_shard_with_too_few_replicas_does_not_delay_the_others(run):
    """Two replicas of a shard are ten times slower and the third lacks capacity.

    Searches are answered in time without that shard, and the healthy replica still
    answers in time the requests that it gets.
    """

    async def scene():
        async with Edge(hosts=4) as edge:
            for shard in SHARDS:
                edge.add_service(shard, work=0.025, slots=4)
            edge.configure(build_shard_route(SHARDS, minimum=0.89))
            await asyncio.sleep(SETTLE_SECONDS)
            await replay(edge, 100, 1, path='/all/x')
            for upstream in edge.by_service[SHARDS[0]][:2]:
                upstream.work = 0.25
            outcomes = await replay(edge, 200, 4, path='/all/x')
            assert share_in_time(outcomes, Merged, 0.18) > 0.98
            late = outcomes[len(outcomes) // 2 :]
            complete = sum(answer.missing == 0 for answer, _ in late)
            assert complete > 0.3 * len(late)

    run(scene())


def test_burst_is_rejected_and_leaves_no_backlog(run):
    """Of three times the load that upstreams can serve, the excess is refused.

    Guards against a backlog that delays requests after the burst.
    """

    async def scene():
        async with Edge(hosts=3) as edge:
            edge.add_service('one', work=0.05, slots=4)
            route = build_route('one', targetLatencyMs=200, timeoutMs=400)
            edge.configure(route, maxConnections=30)
            await asyncio.sleep(SETTLE_SECONDS)
            await replay(edge, 100, 1, limit=0.4)
            for upstream in edge.by_service['one']:
                upstream.concurrency_limit = asyncio.Semaphore(4)
            burst = await replay(edge, 720, 4, limit=0.4)
            kinds = Counter(type(answer) for answer, _ in burst)
            # 12 slots of 50 ms serve 240 requests a second, a third of the load.
            assert kinds[Relayed] > 0.28 * len(burst)
            assert kinds[Refused] > 0.4 * len(burst)
            after = await replay(edge, 100, 2, limit=0.4)
            assert share_in_time(after[50:], Relayed, 0.2) == 1

    run(scene())


def test_higher_priority_goes_first_when_capacity_is_short(run):
    """In a burst the route of lower priority waits; the other is served in time."""

    async def scene():
        async with Edge(hosts=1) as edge:
            edge.add_service('one', work=0.05, slots=4)
            edge.configure(
                build_route('one', '/urgent/', priority=0, targetLatencyMs=300),
                build_route('one', '/other/', priority=5, targetLatencyMs=300),
            )
            await asyncio.sleep(SETTLE_SECONDS)
            for upstream in edge.by_service['one']:
                upstream.concurrency_limit = asyncio.Semaphore(4)
            urgent, other = await asyncio.gather(
                replay(edge, 80, 4, path='/urgent/x'),
                replay(edge, 400, 4, path='/other/x'),
            )
            assert share_in_time(urgent, Relayed, 0.3) > 0.95
            assert share_in_time(other, Relayed, 0.3) < 0.9

    run(scene())


def test_restarted_hosts_do_not_spend_extra_sends_twice(run):
    """Extra sends stay within the limit when all hosts restart twice.

    All upstreams are slow, so every request is due for a hedge. Restarted hosts have no
    record of what they withdrew before, and must not start with full retry budgets.
    """

    async def scene():
        async with Edge(hosts=3) as edge:
            edge.add_service('one', replicas=9, slots=50, work=0.02)
            edge.configure(build_route('one', maxAttempts=3), maxConnections=500)
            await asyncio.sleep(SETTLE_SECONDS)
            await replay(edge, 30, 3)
            for upstream in edge.by_service['one']:
                upstream.work = 0.4
            clear_arrivals(edge)
            asked = len(await replay(edge, 20, 2, limit=5))
            for _ in range(2):
                for host in list(edge.kernels):
                    await edge.stop(host)
                for number in range(3):
                    await edge.start(f'host-{number}', ZONES[number])
                await asyncio.sleep(0.5)
                asked += len(await replay(edge, 20, 2, limit=5))
            extra = sum(arrivals(edge, 'one')) - asked
            assert extra <= 0.2 * asked + 52, extra

    run(scene())


def test_isolated_zone_without_coverage_goes_out_of_rotation(run):
    """Hosts of a zone cut off from the others are not ready while searches fail.

    They are ready again once the zones are connected again. A zone that is cut off but
    covers enough shards stays ready throughout.
    """

    async def scene(shards_short):
        async with Edge(hosts=6) as edge:
            for shard in SHARDS:
                edge.add_service(shard)
            edge.configure(build_shard_route(SHARDS, minimum=0.89))
            await asyncio.sleep(SETTLE_SECONDS)
            cut_zone = [f'host-{number}' for number in (0, 3)]
            others = [f'host-{number}' for number in (1, 2, 4, 5)]
            for one in cut_zone:
                for other in others:
                    edge.network.cut(one, other)
            for shard in SHARDS[:shards_short]:
                for upstream in edge.by_service[shard]:
                    upstream.is_unresponsive = True
            ready = await search_and_check_readiness(edge, cut_zone, 4)
            edge.network.heal()
            healed = await search_and_check_readiness(edge, cut_zone, 4)
            return ready, healed, await search_and_check_readiness(edge, others, 0.1)

    assert run(scene(5)) == (False, True, True)
    assert run(scene(1)) == (True, True, True)


async def search_and_check_readiness(edge, hosts, seconds):
    """Search at some hosts for some seconds; return whether all are ready then."""
    await replay(edge, 30, seconds, path='/all/x', limit=0.3)
    return all(edge.kernels[host].find(READINESS).is_ready for host in hosts)


def test_cold_upstreams_get_no_more_than_their_limit(run):
    """All hosts together stay below the slow-start limit of a cold upstream."""

    async def scene():
        async with Edge(hosts=6) as edge:
            edge.add_service('one', work=0.01)
            edge.configure(build_route('one'), warmupS=3, warmupPerS=10)
            await asyncio.sleep(SETTLE_SECONDS)
            cold = edge.by_service['one'][0]
            entry = cold.register(warmupLeftMs=3000, born=77)
            edge.store.put('registrations', cold.name, entry)
            await asyncio.sleep(0.1)
            clear_arrivals(edge)
            await replay(edge, 150, 2.5)
            times = sorted(time for time, _ in cold.arrivals)
            for first in times:
                within = sum(first <= time < first + 1 for time in times)
                assert within <= 10 * 1.5 + 5
            edge.store.put('registrations', cold.name, cold.register(born=77))
            await asyncio.sleep(0.1)
            clear_arrivals(edge)
            await replay(edge, 150, 2)
            assert len(cold.arrivals) > 0.2 * 300

    run(scene())


def test_capacity_that_appears_goes_to_the_urgent_requests(run):
    """Load pattern: patient requests wait first, urgent ones after them.

    The upstream that they wait for replies to nobody while another one appears, so no
    reply wakes them: each looks for capacity when its time to do so has come.
    """

    async def scene():
        async with Edge(hosts=1) as edge:
            edge.add_service('one', replicas=1, work=5)
            patience = {'targetLatencyMs': 4000, 'timeoutMs': 9000, 'maxAttempts': 1}
            edge.configure(
                build_route('one', '/urgent/', priority=0, **patience),
                build_route('one', '/patient/', priority=3, **patience),
            )
            await asyncio.sleep(SETTLE_SECONDS)
            asking = []
            for path, many in (('/patient/x', 7), ('/urgent/x', 3)):
                for _ in range(many):
                    asking.append(
                        asyncio.ensure_future(edge.ask('host-0', path, limit=8))
                    )
                    await asyncio.sleep(0.01)
            busy = edge.by_service.pop('one')
            edge.add_service('one', replicas=2, work=5)
            another = edge.by_service['one'][1]
            edge.by_service['one'][0].arrivals = busy[0].arrivals
            await asyncio.sleep(1)
            urgent = {f'attempt-{number}' for number in (8, 9, 10)}
            assert {attempt for _, attempt in another.arrivals} == urgent
            for each in asking:
                each.cancel()

    run(scene())
