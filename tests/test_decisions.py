"""Decisions by themselves: fair queues, budgets, suspicion, ramps, throttles."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rattanspoke.decisions import (
    CONVICTING_CRASHES,
    REFUSAL_TIME,
    FairQueue,
    Ramp,
    RatioBudget,
    Suspicion,
    Throttle,
    Ticket,
    TokenBucket,
)
from rattanspoke.model import (
    Fingerprint,
    Incarnation,
    OrganisationId,
    Seconds,
    ServiceId,
    UpstreamId,
    UpstreamRecord,
    ZoneId,
)

COUNTER = OrganisationId('counter')
COURIER = OrganisationId('courier')
LIFE = Incarnation('u.1')
RECORD = UpstreamRecord(
    upstream=UpstreamId('u'),
    service=ServiceId('s'),
    zone=ZoneId('z'),
    address='127.0.0.1:1',
    slots=4,
    connections=35,
    cold_slots=1,
    ramp=Seconds(4),
)


def ticket(organisation, number, urgency=0, priority=1, solo=False):
    """Return a ticket that is told apart by its number."""
    return Ticket(
        work=number,
        organisation=organisation,
        priority=priority,
        urgency=urgency,
        deadline=Seconds(100 + number),
        solo=solo,
    )


def test_claimed_urgency_lifts_nothing_outside_its_share():
    """The courier desk's urgent flood leaves every second turn to the counter."""
    queue = FairQueue()
    for number in range(100):
        queue.push(ticket(COURIER, number, urgency=9))
    for number in range(10):
        queue.push(ticket(COUNTER, number))
    turns = [queue.pop().organisation for _ in range(20)]
    assert turns.count(COUNTER) == 10


def test_urgency_orders_work_within_a_share():
    """A organisation's urgent work goes before its other work, then by deadline."""
    queue = FairQueue()
    for number, urgency in ((1, 0), (2, 5), (3, 5)):
        queue.push(ticket(COUNTER, number, urgency))
    assert [queue.pop().work for _ in range(3)] == [2, 3, 1]


def test_better_class_goes_first():
    """Work of a better class passes all work of a worse one."""
    queue = FairQueue()
    queue.push(ticket(COURIER, 1, urgency=9, priority=2))
    queue.push(ticket(COUNTER, 2, priority=1))
    assert queue.pop().work == 2


def test_idle_organisation_saves_up_no_turns():
    """Who was idle starts level with the others and does not shut them out."""
    queue = FairQueue()
    for number in range(50):
        queue.push(ticket(COURIER, number))
    for _ in range(40):
        queue.pop()
    for number in range(50):
        queue.push(ticket(COUNTER, number))
    turns = [queue.pop().organisation for _ in range(10)]
    assert 4 <= turns.count(COURIER) <= 6


@settings(max_examples=100, deadline=None, derandomize=True, database=None)
@given(st.lists(st.tuples(st.booleans(), st.integers(0, 3), st.booleans())))
def test_batches_lose_and_double_nothing(entries):
    """Every ticket comes out once, and a solo ticket alone."""
    queue = FairQueue()
    for number, (is_courier, urgency, solo) in enumerate(entries):
        organisation = COURIER if is_courier else COUNTER
        queue.push(ticket(organisation, number, urgency, solo=solo))
    seen = []
    while len(queue):
        batch = queue.pop_batch(4)
        assert len(batch) == 1 or not any(each.solo for each in batch)
        seen += [each.work for each in batch]
    assert sorted(seen) == list(range(len(entries)))


def test_innocent_work_is_not_blamed_twice():
    """Of the work in a second crash only the earlier suspect is blamed."""
    suspicion = Suspicion()
    poison, first, second = (Fingerprint(each) for each in ('p', 'a', 'b'))
    suspicion.note_crash('c1', [poison, first], Seconds(0))
    suspicion.note_success(first)
    blamed = suspicion.note_crash('c2', [poison, second], Seconds(1))
    assert blamed == (poison,)
    assert suspicion.is_blocked(poison, Seconds(1))
    assert not suspicion.is_suspect(first)
    assert not suspicion.is_suspect(second)


def test_one_crash_counts_once():
    """Reports of the same crash from several hosts convict nobody."""
    suspicion = Suspicion()
    for _ in range(CONVICTING_CRASHES + 1):
        suspicion.note_crash('c1', [Fingerprint('p')], Seconds(0))
    assert not suspicion.is_blocked(Fingerprint('p'), Seconds(0))


def test_conviction_ends():
    """A convicted request is refused for a while, not for ever."""
    suspicion = Suspicion()
    for crash in ('c1', 'c2'):
        suspicion.note_crash(crash, [Fingerprint('p')], Seconds(0))
    assert suspicion.is_blocked(Fingerprint('p'), Seconds(REFUSAL_TIME - 1))
    assert not suspicion.is_blocked(Fingerprint('p'), Seconds(REFUSAL_TIME))


def test_ramp_rises_with_time_and_falls_at_once():
    """Seats come back step by step; a lost connection takes all but the first."""
    ramp = Ramp()
    assert ramp.allow(RECORD) == 1
    for now in (0, 2, 4):
        ramp.note_success(RECORD, LIFE, Seconds(0.01), Seconds(now), leads=True)
    assert ramp.allow(RECORD) == 4
    ramp.note_loss()
    assert ramp.allow(RECORD) == 1


def test_ramp_ignores_a_report_about_a_life_that_ended():
    """What another owner says of a dead life warms nothing."""
    ramp = Ramp()
    ramp.note_report(LIFE, 4)
    ramp.note_loss()
    ramp.note_report(LIFE, 4)
    assert ramp.allow(RECORD) == 1


def test_owner_without_the_first_seat_does_not_raise_the_level():
    """Only one owner decides how warm an upstream is."""
    ramp = Ramp()
    for now in range(10):
        ramp.note_success(RECORD, LIFE, Seconds(0.01), Seconds(now), leads=False)
    assert ramp.allow(RECORD) == 1


@pytest.mark.parametrize('step', [-3600, 0])
def test_clock_that_does_not_advance_gives_no_tokens(step):
    """A clock that stands still or steps back refills no bucket."""
    bucket = TokenBucket(rate=10, capacity=5, tokens=0, updated=Seconds(5000))
    assert not bucket.take(Seconds(5000 + step))


def test_budget_in_debt_earns_before_it_spends():
    """An overdraft is paid back out of what is earned later."""
    budget = RatioBudget(ratio=0.5, capacity=10, overdraft=4)
    assert budget.spend(4)
    assert not budget.spend(1)
    budget.earn(2)
    assert budget.spend(1)
    assert not budget.spend(1)


def test_throttle_lets_a_burst_in_and_stops_what_fails():
    """Requests in flight are no evidence of overload; refused ones are."""
    throttle = Throttle()
    assert all(throttle.admits(0, Seconds(1)) for _ in range(500))
    for _ in range(100):
        throttle.note_ended(Seconds(1), accepted=False)
    assert not throttle.admits(0.5, Seconds(1))
    assert throttle.admits(0.5, Seconds(60))
