"""At most once: bookings under each kind of failure, checked by their executions."""

import asyncio
from dataclasses import replace

import pytest

from rattanspoke.model import Outcome, Reason, RequestError, UpstreamState
from rattanspoke.standins import CRASH_MARKER, DISPATCH

from .tiers import Tier

WORK = 'resize ring'


def list_booking_upstreams(tier):
    """Return the upstreams that take bookings."""
    return [
        upstream
        for upstream in tier.environment.upstreams.values()
        if upstream.record.service == DISPATCH
    ]


async def outcome_of(booking):
    """Return the outcome and the reference that a caller gets for a booking."""
    try:
        receipt = await booking
    except RequestError as error:
        return error.outcome, ''
    return receipt.outcome, receipt.reference


def test_lost_reply_is_unknown_and_never_runs_again(run):
    """A connection breaks after the work ran: unknown, and no retry runs it again."""

    async def scene():
        async with Tier() as tier:
            for upstream in list_booking_upstreams(tier):
                upstream.behaviour.lose_replies = 1
            assert await outcome_of(tier.book(tier.hosts[0], 'k')) == (
                Outcome.UNKNOWN,
                '',
            )
            for host in tier.hosts:
                outcome, _ = await outcome_of(tier.book(host, 'k'))
                assert outcome is Outcome.UNKNOWN
            assert tier.executions(WORK) == 1

    run(scene())


def test_shed_work_moves_to_another_upstream(run):
    """An upstream that sheds a booking ran nothing, so another one may run it."""

    async def scene():
        async with Tier() as tier:
            for upstream in list_booking_upstreams(tier)[1:]:
                upstream.behaviour.shed = True
            receipt = await tier.book(tier.hosts[0], 'k')
            assert receipt.outcome is Outcome.RAN
            assert tier.executions(WORK) == 1

    run(scene())


def test_refusal_frees_the_key(run):
    """A booking that certainly did not run frees its key; a retry then runs it."""

    async def scene():
        async with Tier() as tier:
            for upstream in list_booking_upstreams(tier):
                upstream.behaviour.shed = True
            assert await outcome_of(tier.book(tier.hosts[0], 'k')) == (
                Outcome.NOT_RUN,
                '',
            )
            for upstream in list_booking_upstreams(tier):
                upstream.behaviour.shed = False
            await asyncio.sleep(1)
            outcome, _ = await outcome_of(tier.book(tier.hosts[1], 'k'))
            assert outcome is Outcome.RAN
            assert tier.executions(WORK) == 1

    run(scene())


def test_same_key_at_every_host_at_once(run):
    """Only one of several concurrent requests under a key runs."""

    async def scene():
        async with Tier() as tier:
            results = await asyncio.gather(
                *(outcome_of(tier.book(host, 'k')) for host in tier.hosts * 3)
            )
            assert tier.executions(WORK) == 1
            assert sum(outcome is Outcome.RAN for outcome, _ in results) >= 1
            assert all(outcome is not Outcome.NOT_RUN for outcome, _ in results)

    run(scene())


def test_other_work_under_a_used_key_is_refused(run):
    """A key that was used for one booking is rejected with other content."""

    async def scene():
        async with Tier() as tier:
            await tier.book(tier.hosts[0], 'k')
            with pytest.raises(RequestError) as caught:
                await tier.book(tier.hosts[1], 'k', content='another')
            assert caught.value.reason is Reason.BAD_REQUEST
            assert tier.executions('another') == 0

    run(scene())


@pytest.mark.parametrize('lost', [1, 2, 3])
def test_claim_whose_reply_is_lost(run, lost):
    """A claim is stored but the reply is lost: its token shows that it is held."""

    async def scene():
        async with Tier() as tier:
            tier.environment.platform.faults.lose_replies = lost
            receipt = await tier.book(tier.hosts[0], 'k', budget=3)
            assert receipt.outcome is Outcome.RAN
            again = await tier.book(tier.hosts[1], 'k', budget=3)
            assert again.repeated
            assert tier.executions(WORK) == 1

    run(scene())


def test_no_platform_means_not_run(run):
    """Without the platform no claim can be stored: nothing runs, outcome NOT_RUN."""

    async def scene():
        async with Tier() as tier:
            tier.environment.platform.set_down(is_down=True)
            assert await outcome_of(tier.book(tier.hosts[0], 'k')) == (
                Outcome.NOT_RUN,
                '',
            )
            assert tier.executions(WORK) == 0
            tier.environment.platform.set_down(is_down=False)
            await asyncio.sleep(6)
            receipt = await tier.book(tier.hosts[1], 'k')
            assert receipt.outcome is Outcome.RAN
            assert tier.executions(WORK) == 1

    run(scene())


@pytest.mark.parametrize('delay', [0.001, 0.004, 0.007, 0.01, 0.015, 0.02, 0.05])
def test_host_dies_at_any_moment(run, delay):
    """A host dies during a booking: the retry at another host runs it at most once.

    The delays, in seconds, place the death at different steps of the booking.
    """

    async def scene():
        async with Tier() as tier:
            victim, other = tier.hosts[0], tier.hosts[1]
            first = asyncio.ensure_future(outcome_of(tier.book(victim, 'k')))
            await asyncio.sleep(delay)
            await tier.kill(victim)
            first.cancel()
            await asyncio.sleep(2)
            outcome, reference = await outcome_of(tier.book(other, 'k', budget=3))
            again = await outcome_of(tier.book(other, 'k', budget=3))
            assert again == (outcome, reference)
            assert tier.executions(WORK) <= 1
            if outcome is Outcome.RAN:
                assert tier.executions(WORK) == 1
            if outcome is Outcome.NOT_RUN:
                assert tier.executions(WORK) == 0

    run(scene())


def test_caller_that_leaves_does_not_stop_its_booking(run):
    """A caller disconnects: its booking ends, and a retry gets the stored outcome."""

    async def scene():
        async with Tier() as tier:
            caller = asyncio.ensure_future(tier.book(tier.hosts[0], 'k'))
            await asyncio.sleep(0.01)
            caller.cancel()
            await asyncio.sleep(1)
            again = await tier.book(tier.hosts[1], 'k')
            assert again.repeated
            assert tier.executions(WORK) == 1

    run(scene())


def test_booking_still_queued_at_its_deadline_never_runs(run):
    """A booking still queued at its deadline is NOT_RUN and never runs later."""

    async def scene():
        async with Tier() as tier:
            for upstream in list_booking_upstreams(tier):
                upstream.behaviour.median_latency = 5
            bookings = [
                tier.book(tier.hosts[0], f'k{number}', content=f'w{number}', budget=1)
                for number in range(9)
            ]
            results = await asyncio.gather(*(outcome_of(each) for each in bookings))
            await asyncio.sleep(20)
            for number, (outcome, _) in enumerate(results):
                if outcome is Outcome.NOT_RUN:
                    assert tier.executions(f'w{number}') == 0
            assert any(outcome is Outcome.NOT_RUN for outcome, _ in results)

    run(scene())


def test_booking_without_usable_upstream_is_refused_at_once(run):
    """With every upstream of the service draining, a booking fails without waiting."""

    async def scene():
        async with Tier() as tier:
            for upstream in list_booking_upstreams(tier):
                record = replace(upstream.record, state=UpstreamState.LEAVING)
                tier.environment.write('upstream', record.upstream, record)
            await asyncio.sleep(1)
            loop = asyncio.get_running_loop()
            began = loop.time()
            outcome, _ = await outcome_of(tier.book(tier.hosts[0], 'k', budget=2))
            assert outcome is Outcome.NOT_RUN
            assert loop.time() - began < 0.5

    run(scene())


def test_poisonous_booking_crashes_few_upstreams(run):
    """A query of death, sent again under new keys, is blocked after two crashes."""

    async def scene():
        async with Tier() as tier:
            for number in range(12):
                host = tier.hosts[number % len(tier.hosts)]
                await outcome_of(tier.book(host, f'k{number}', content=CRASH_MARKER))
                await asyncio.sleep(0.5)
            crashes = sum(
                upstream.stats.crashes for upstream in list_booking_upstreams(tier)
            )
            assert crashes <= 2
            receipt = await tier.book(tier.hosts[0], 'innocent', budget=3)
            assert receipt.outcome is Outcome.RAN

    run(scene())
