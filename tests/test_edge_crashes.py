"""Queries of death: detected, limited in the crashes they cause, no others blocked."""

import asyncio

from rattanspoke.contracts import CALL_BROKEN
from rattanspoke.decisions import CONFIRMATION_WINDOW, CrashDetector, CrashSuspects
from rattanspoke.model import (
    Fingerprint,
    Incarnation,
    Merged,
    Reason,
    Refused,
    Relayed,
    RequestId,
    Seconds,
)

from .edges import SETTLE_SECONDS, ZONES, Edge, build_route, build_shard_route

QUERY_OF_DEATH = '/one/poison'
CRASH_BOUND = 3  # crashes that one request may cause through all hosts together
SHARDS = tuple(f'shard-{number}' for number in range(10))
FIRST, SECOND = Incarnation('a@1'), Incarnation('b@1')
ATTEMPT, OTHER_ATTEMPT = RequestId('1'), RequestId('2')
FINGERPRINT = Fingerprint('p')


def test_broken_call_alone_proves_no_crash():
    """A lost connection to an upstream that keeps running is no crash."""
    evidence = CrashDetector()
    evidence.note_broken_call(FIRST, ATTEMPT, FINGERPRINT, Seconds(0))
    assert evidence.confirm_crash(SECOND, Seconds(0.1)) is None
    assert evidence.confirm_crash(FIRST, Seconds(CONFIRMATION_WINDOW + 1)) is None


def test_refused_connection_after_a_broken_call_proves_a_crash():
    """The lost calls become suspects, and the crash is reported once only."""
    evidence = CrashDetector()
    evidence.note_broken_call(FIRST, ATTEMPT, FINGERPRINT, Seconds(0))
    report = evidence.confirm_crash(FIRST, Seconds(1))
    assert report is not None
    assert report.suspects == (FINGERPRINT,)
    assert evidence.confirm_crash(FIRST, Seconds(1)) is None


def test_upstreams_that_crash_together_count_once():
    """Crashes with a caller's attempt in common count as one crash.

    A search is in flight at many upstreams when a group of them fails, and must not be
    blocked for each of them.
    """
    evidence = CrashDetector()
    other = Fingerprint('q')
    evidence.note_broken_call(FIRST, ATTEMPT, FINGERPRINT, Seconds(0))
    evidence.note_broken_call(SECOND, ATTEMPT, FINGERPRINT, Seconds(0))
    evidence.note_broken_call(SECOND, OTHER_ATTEMPT, other, Seconds(0))
    reports = [evidence.confirm_crash(life, Seconds(1)) for life in (FIRST, SECOND)]
    assert [report.crash for report in reports] == [FIRST, FIRST]
    assert reports[1].suspects == (FINGERPRINT, other)


def test_later_attempt_that_crashes_again_counts_anew():
    """A retry by the caller that is lost at another upstream counts as a new crash."""
    evidence = CrashDetector()
    evidence.note_broken_call(FIRST, ATTEMPT, FINGERPRINT, Seconds(0))
    evidence.note_broken_call(SECOND, OTHER_ATTEMPT, FINGERPRINT, Seconds(0.4))
    reports = [evidence.confirm_crash(life, Seconds(1)) for life in (FIRST, SECOND)]
    assert [report.crash for report in reports] == [FIRST, SECOND]


def test_request_that_crashes_upstreams_is_refused_on_all_hosts(run):
    """Sent repeatedly through all hosts, it causes no more than CRASH_BOUND crashes."""

    async def scene():
        async with Edge(hosts=3) as edge:
            edge.add_service('one', replicas=9, crash_on=QUERY_OF_DEATH)
            edge.configure(build_route('one'))
            await asyncio.sleep(SETTLE_SECONDS)
            others, answer = [], None
            for number in range(60):
                host = f'host-{number % 3}'
                answer = await edge.ask(host, QUERY_OF_DEATH)
                others += [await edge.ask(host, f'/one/{number}') for _ in range(6)]
                await asyncio.sleep(0.3)
            assert answer == Refused(Reason.SUSPECT, answer.retry_after)
            crashes = [each for up in edge.by_service['one'] for each in up.crashes]
            assert len(crashes) <= CRASH_BOUND
            assert all(isinstance(each, Relayed) for each in others)

    run(scene())


def test_rolling_restart_forgets_no_request_that_crashes_upstreams(run):
    """A host that starts learns from a peer what is blocked, and since when.

    Each restarted host once let the request crash upstreams again.
    """

    async def scene():
        async with Edge(hosts=3) as edge:
            edge.add_service('one', replicas=9, crash_on=QUERY_OF_DEATH)
            edge.configure(build_route('one'))
            await asyncio.sleep(SETTLE_SECONDS)
            for number in range(12):
                await press_on(edge, f'host-{number % 3}')
            crashes = count_crashes(edge)
            assert crashes <= CRASH_BOUND
            for number, zone in enumerate(ZONES):
                await edge.stop(f'host-{number}')
                await asyncio.sleep(1)
                await edge.start(f'host-{number}', zone)
                await asyncio.sleep(SETTLE_SECONDS)
                for _ in range(4):
                    answer = await press_on(edge, f'host-{number}')
                    assert answer == Refused(Reason.SUSPECT, answer.retry_after)
            assert count_crashes(edge) == crashes
            # The block ends when it would have ended without the restarts.
            await asyncio.sleep(60)
            answer = await press_on(edge, 'host-0')
            assert answer != Refused(Reason.SUSPECT, getattr(answer, 'retry_after', 0))

    run(scene())


async def press_on(edge, host):
    """Send the query of death and others to a host; return the answer to the first."""
    answer = await edge.ask(host, QUERY_OF_DEATH)
    for number in range(6):
        await edge.ask(host, f'/one/{number}')
    await asyncio.sleep(0.3)
    return answer


def count_crashes(edge):
    """Return the crashes of all upstreams so far."""
    return sum(len(upstream.crashes) for upstream in edge.upstreams.values())


def test_restored_suspects_are_judged_as_before():
    """Description and adoption keep blame, block and age, and no newer finding."""
    now = Seconds(100)
    suspects, restored = CrashSuspects(), CrashSuspects()
    other = Fingerprint('q')
    suspects.note_crash('a', (FINGERPRINT, other), Seconds(90))
    suspects.note_crash('b', (FINGERPRINT,), Seconds(95))
    assert suspects.is_blocked(FINGERPRINT, now)
    assert restored.adopt(suspects.describe(now), Seconds(7)) == 2
    assert restored.is_blocked(FINGERPRINT, Seconds(7))
    assert restored.is_suspect(other, Seconds(7))
    assert not restored.is_blocked(other, Seconds(7))
    assert not restored.is_blocked(FINGERPRINT, Seconds(7 + 56))
    assert restored.adopt(suspects.describe(now), Seconds(8)) == 0


def test_search_that_crashes_upstreams_is_tried_on_one_shard(run):
    """A suspect search is sent to a single upstream before it is fanned out."""

    async def scene():
        async with Edge(hosts=3) as edge:
            for shard in SHARDS:
                edge.add_service(shard, crash_on='/all/poison')
            edge.configure(build_shard_route(SHARDS))
            await asyncio.sleep(SETTLE_SECONDS)
            await edge.ask('host-0', '/all/poison')
            for number in range(3):
                for _ in range(6):
                    await edge.ask(f'host-{number}', '/all/other')
                await asyncio.sleep(0.3)
            first = sum(len(each.crashes) for each in edge.upstreams.values())
            for number in range(30):
                await edge.ask(f'host-{number % 3}', '/all/poison')
                await edge.ask(f'host-{number % 3}', '/all/other')
                await asyncio.sleep(0.3)
            crashes = sum(len(each.crashes) for each in edge.upstreams.values())
            assert crashes - first <= CRASH_BOUND

    run(scene())


def test_calls_that_a_host_breaks_off_itself_are_no_evidence(run):
    """A call that this host aborts is no evidence of a crash.

    When the caller disconnects, the host closes the connection to the upstream, and
    opens no new one to probe for a crash.
    """

    async def scene():
        async with Edge(hosts=1) as edge:
            edge.add_service('one', replicas=1, work=0.5)
            edge.configure(build_route('one'))
            await asyncio.sleep(SETTLE_SECONDS)
            broken = []
            edge.kernels['host-0'].bus.subscribe(CALL_BROKEN, broken.append)
            asking = asyncio.ensure_future(edge.ask('host-0'))
            await asyncio.sleep(0.1)
            asking.cancel()
            await asyncio.sleep(1)
            assert not broken
            assert edge.by_service['one'][0].open_connections == 0

    run(scene())


def test_crash_of_a_group_blocks_no_request(run):
    """Searches in flight at upstreams that fail together, twice, are not blocked."""

    async def scene():
        async with Edge(hosts=2) as edge:
            for shard in SHARDS:
                edge.add_service(shard, work=0.05)
            edge.configure(build_shard_route(SHARDS))
            await asyncio.sleep(SETTLE_SECONDS)
            loop = asyncio.get_running_loop()
            for _ in range(2):
                asking = [
                    asyncio.ensure_future(edge.ask('host-0', f'/all/{number}'))
                    for number in range(3)
                ]
                await asyncio.sleep(0.02)
                for shard in SHARDS[:4]:
                    upstream = edge.by_service[shard][0]
                    upstream.breaks = upstream.is_down = True
                    loop.call_later(1, setattr, upstream, 'breaks', False)
                    loop.call_later(1, setattr, upstream, 'is_down', False)
                await asyncio.gather(*asking)
                for _ in range(20):
                    await edge.ask('host-0', '/all/other')
                    await asyncio.sleep(0.1)
            answers = [await edge.ask('host-0', f'/all/{each}') for each in range(3)]
            assert all(isinstance(each, Merged) for each in answers)

    run(scene())
