"""Unit tests of decisions: fair queue, budgets, suspects, slow start, throttle."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rattanspoke.decisions import (
    BLOCK_TIME,
    BLOCKING_CRASHES,
    CrashSuspects,
    ExtraSendPolicy,
    FairQueue,
    LatencyWindow,
    PendingSubRequest,
    QueueItem,
    RetryBudget,
    SlowStart,
    Throttle,
    TokenBucket,
    choose_shed_reason,
)
from rattanspoke.model import (
    CoverageFirst,
    Fingerprint,
    Incarnation,
    OrganisationId,
    Reason,
    Seconds,
    ServiceId,
    ShardId,
    UpstreamId,
    UpstreamRecord,
    ZoneId,
)

COUNTER = OrganisationId('counter')
COURIER = OrganisationId('courier')
INCARNATION = Incarnation('u.1')
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


def make_queue_item(organisation, number, urgency=0, priority=1, solo=False):
    """Return a queue item that is identified by its number."""
    return QueueItem(
        work=number,
        organisation=organisation,
        priority=priority,
        urgency=urgency,
        deadline=Seconds(100 + number),
        solo=solo,
    )


def test_urgency_does_not_raise_an_organisation_above_its_share():
    """Guard against one organisation starving another by marking its work urgent.

    Of two organisations with equal priority each still gets half of the turns.
    """
    queue = FairQueue()
    for number in range(100):
        queue.push(make_queue_item(COURIER, number, urgency=9))
    for number in range(10):
        queue.push(make_queue_item(COUNTER, number))
    turns = [queue.pop().organisation for _ in range(20)]
    assert turns.count(COUNTER) == 10


def test_urgency_orders_work_within_a_share():
    """Within an organisation, items go by urgency first and by deadline second."""
    queue = FairQueue()
    for number, urgency in ((1, 0), (2, 5), (3, 5)):
        queue.push(make_queue_item(COUNTER, number, urgency))
    assert [queue.pop().work for _ in range(3)] == [2, 3, 1]


def test_higher_priority_class_goes_first():
    """A higher priority class goes first, whatever the urgency of the other's work."""
    queue = FairQueue()
    queue.push(make_queue_item(COURIER, 1, urgency=9, priority=2))
    queue.push(make_queue_item(COUNTER, 2, priority=1))
    assert queue.pop().work == 2


def test_idle_organisation_accumulates_no_turns():
    """Guard against an organisation that was idle taking all turns when it returns.

    It starts level with the others, as if it had used its share meanwhile.
    """
    queue = FairQueue()
    for number in range(50):
        queue.push(make_queue_item(COURIER, number))
    for _ in range(40):
        queue.pop()
    for number in range(50):
        queue.push(make_queue_item(COUNTER, number))
    turns = [queue.pop().organisation for _ in range(10)]
    assert 4 <= turns.count(COURIER) <= 6


@settings(max_examples=100, deadline=None, derandomize=True, database=None)
@given(st.lists(st.tuples(st.booleans(), st.integers(0, 3), st.booleans())))
def test_batches_return_each_item_exactly_once(entries):
    """Batches return every queue item exactly once, and a solo item by itself."""
    queue = FairQueue()
    for number, (is_courier, urgency, solo) in enumerate(entries):
        organisation = COURIER if is_courier else COUNTER
        queue.push(make_queue_item(organisation, number, urgency, solo=solo))
    seen = []
    while len(queue):
        batch = queue.pop_batch(4)
        assert len(batch) == 1 or not any(each.solo for each in batch)
        seen += [each.work for each in batch]
    assert sorted(seen) == list(range(len(entries)))


def test_only_the_earlier_suspect_is_blocked_by_a_second_crash():
    """Guard against blocking requests that merely ran next to a query of death.

    Of the work in flight in a second crash, only the earlier suspect stays suspected.
    """
    suspects = CrashSuspects()
    query_of_death, first, second = (Fingerprint(each) for each in ('p', 'a', 'b'))
    suspects.note_crash('c1', [query_of_death, first], Seconds(0))
    suspects.note_success(first, Seconds(0.5))
    suspected = suspects.note_crash('c2', [query_of_death, second], Seconds(1))
    assert suspected == (query_of_death,)
    assert suspects.is_blocked(query_of_death, Seconds(1))
    assert not suspects.is_suspect(first, Seconds(1))
    assert not suspects.is_suspect(second, Seconds(1))


def test_requests_beside_a_query_of_death_are_not_blocked_by_its_first_attempt():
    """Guard against refusing popular searches after one search crashed many upstreams.

    The first attempt reaches upstreams all at once, and another search is in flight at
    the same ones. Blocked is the request that crashes an upstream on its own later.
    """
    suspects = CrashSuspects()
    query_of_death, popular = Fingerprint('p'), Fingerprint('a')
    for crash in ('c1', 'c2', 'c3'):
        suspects.note_crash(crash, [query_of_death, popular], Seconds(0))
    assert not suspects.is_blocked(popular, Seconds(0))
    assert suspects.is_suspect(popular, Seconds(0))
    suspects.note_success(popular, Seconds(0.1))
    assert not suspects.is_suspect(popular, Seconds(0.4))
    suspects.note_crash('c4', [query_of_death], Seconds(1))
    assert suspects.is_blocked(query_of_death, Seconds(1))


def test_a_later_report_of_a_crash_corrects_the_blame():
    """Guard against blaming one owner's call for a crash that another owner's caused.

    Both were in flight at the upstream; the report with the earlier suspect comes last.
    """
    suspects = CrashSuspects()
    query_of_death, other = Fingerprint('p'), Fingerprint('a')
    suspects.note_crash('c1', [query_of_death], Seconds(0))
    suspects.note_crash('c2', [other], Seconds(1))
    suspects.note_crash('c2', [query_of_death], Seconds(1))
    assert not suspects.is_suspect(other, Seconds(1))
    assert suspects.is_blocked(query_of_death, Seconds(1))


def test_retry_that_finds_no_replica_is_returned():
    """Guard against spending retries on sub-requests that no other replica can take."""
    retries = RetryBudget(ratio=1, capacity=1, balance=1)
    policy = ExtraSendPolicy(
        policy=CoverageFirst(),
        search_time=Seconds(1),
        window=LatencyWindow(),
        hedges=RetryBudget(ratio=0, capacity=1),
        retries=lambda upstream: retries,
    )
    sub_request = PendingSubRequest(1, UpstreamId('u'), (ShardId('s'),), Seconds(0))
    assert policy.withdraw_hedge(sub_request, 1, Seconds(0.9))
    assert retries.balance == 0
    policy.refund_retry(sub_request)
    assert retries.balance == 1


def test_one_crash_counts_once():
    """Guard against blocking a request because several hosts report the same crash."""
    suspects = CrashSuspects()
    for _ in range(BLOCKING_CRASHES + 1):
        suspects.note_crash('c1', [Fingerprint('p')], Seconds(0))
    assert not suspects.is_blocked(Fingerprint('p'), Seconds(0))


def test_blocking_expires():
    """A request is blocked for a limited time after its last crash."""
    suspects = CrashSuspects()
    for moment in (0, 1):
        suspects.note_crash(f'c{moment}', [Fingerprint('p')], Seconds(moment))
    assert suspects.is_blocked(Fingerprint('p'), Seconds(BLOCK_TIME))
    assert not suspects.is_blocked(Fingerprint('p'), Seconds(BLOCK_TIME + 1))


def test_a_loss_of_power_blocks_no_search():
    """Guard against refusing searches that were in flight when a zone lost power.

    One caller's search was alone at each of several upstreams that ended together.
    """
    suspects = CrashSuspects()
    for number in range(4):
        suspects.note_crash(f'c{number}', [Fingerprint('a')], Seconds(number / 100))
    assert suspects.is_suspect(Fingerprint('a'), Seconds(0.05))
    assert not suspects.is_blocked(Fingerprint('a'), Seconds(0.05))


def test_a_reply_just_before_the_crash_clears_no_suspect():
    """Guard against a query of death whose upstream replies and crashes then."""
    suspects = CrashSuspects()
    query_of_death = Fingerprint('p')
    suspects.note_crash('c1', [query_of_death], Seconds(0))
    suspects.note_success(query_of_death, Seconds(1))
    suspects.note_crash('c2', [query_of_death], Seconds(1.01))
    assert suspects.is_blocked(query_of_death, Seconds(2))


def test_slow_start_rises_in_steps_and_resets_on_connection_loss():
    """The seat limit rises in steps over the ramp time.

    A lost connection resets it to the seats of a cold upstream.
    """
    slow_start = SlowStart()
    assert slow_start.find_seat_limit(RECORD) == 1
    for now in (0, 2, 4):
        slow_start.note_success(
            RECORD, INCARNATION, Seconds(0.01), Seconds(now), owns_first_seat=True
        )
    assert slow_start.find_seat_limit(RECORD) == 4
    slow_start.note_loss()
    assert slow_start.find_seat_limit(RECORD) == 1


def test_slow_start_ignores_a_report_about_an_ended_incarnation():
    """Guard against a late report from another owner.

    It is about an incarnation that has ended, so it must not raise the seat limit.
    """
    slow_start = SlowStart()
    slow_start.note_report(INCARNATION, 4)
    slow_start.note_loss()
    slow_start.note_report(INCARNATION, 4)
    assert slow_start.find_seat_limit(RECORD) == 1


def test_owner_without_the_first_seat_does_not_raise_the_seat_limit():
    """Only the owner of the first seat may raise the seat limit of an upstream."""
    slow_start = SlowStart()
    for now in range(10):
        slow_start.note_success(
            RECORD, INCARNATION, Seconds(0.01), Seconds(now), owns_first_seat=False
        )
    assert slow_start.find_seat_limit(RECORD) == 1


@pytest.mark.parametrize('step', [-3600, 0])
def test_clock_that_does_not_advance_adds_no_tokens(step):
    """A clock that stands still or steps back adds no tokens to a bucket."""
    bucket = TokenBucket(rate=10, capacity=5, tokens=0, updated=Seconds(5000))
    assert not bucket.take(Seconds(5000 + step))


def test_overdrawn_budget_needs_deposits_before_a_withdrawal():
    """An overdrawn budget allows no withdrawal until deposits have covered it."""
    budget = RetryBudget(ratio=0.5, capacity=10, overdraft=4)
    assert budget.withdraw(4)
    assert not budget.withdraw(1)
    budget.deposit(2)
    assert budget.withdraw(1)
    assert not budget.withdraw(1)


def test_throttle_admits_a_burst_and_rejects_after_failures():
    """Requests in flight are no sign of overload, but rejected ones are."""
    throttle = Throttle()
    assert all(throttle.admits(0, Seconds(1)) for _ in range(500))
    for _ in range(100):
        throttle.note_ended(Seconds(1), accepted=False)
    assert not throttle.admits(0.5, Seconds(1))
    assert throttle.admits(0.5, Seconds(60))


@pytest.mark.parametrize(
    ('wait', 'time_left', 'reason'),
    [
        (0.01, 0.5, None),
        (0.3, 0.5, Reason.OVERLOADED),
        (0.004, 0.006, Reason.DEADLINE),
        (0, 0.003, Reason.DEADLINE),
    ],
)
def test_refusal_of_a_short_time_budget_is_no_overload(wait, time_left, reason):
    """Only a queue of several calls counts as overload of the upstream."""
    assert choose_shed_reason(Seconds(wait), Seconds(0.004), Seconds(time_left)) is (
        reason
    )
