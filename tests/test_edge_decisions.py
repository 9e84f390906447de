"""Test the decisions on callers' requests: routes, merging, limits, waiting."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rattanspoke.decisions import (
    REFILL_FRACTION,
    AnswerWhenEnough,
    ConcurrencyLimit,
    MissingUpstreams,
    RecentLatency,
    RouteTable,
    WaitForAll,
    WeightedRoundRobin,
    choose_answer_time,
    choose_hedge_delay,
    choose_links,
    choose_relays,
    choose_retention,
    choose_retry_after,
    choose_sources,
    choose_wait_policy,
    choose_watchers,
    count_required_shards,
    divide_slack,
    is_waiting_useful,
    make_extra_budget,
    may_hedge,
    merge_records,
    rank_pending,
    resize_extra_budget,
)
from rattanspoke.model import (
    CallerLimits,
    DesiredState,
    HostId,
    Idempotency,
    OneService,
    PendingRequest,
    Registration,
    RegistrationState,
    Revision,
    Route,
    RouteId,
    Seconds,
    ServiceId,
    ShardSet,
    UpstreamId,
    WeightedService,
    ZoneId,
)

LIMITS = CallerLimits(
    header_bytes=1, body_bytes=1, header_time=Seconds(1), idle_time=Seconds(1)
)


def make_route(prefix='/a/', authority='jobs.example', **changes):
    """Return a route to one service."""
    values = {
        'route': RouteId(prefix),
        'authority': authority,
        'prefix': prefix,
        'destination': OneService(ServiceId('one')),
        'idempotency': Idempotency.IDEMPOTENT,
        'time_limit': Seconds(1.5),
        'objective': Seconds(0.18),
    }
    return Route(**(values | changes))


def make_registration(name='i-1', state=RegistrationState.READY, service='one'):
    """Return the registration of an upstream."""
    return Registration(
        upstream=UpstreamId(name),
        started=1,
        service=ServiceId(service),
        address='10.0.0.1:80',
        zone=ZoneId('east'),
        slots=4,
        state=state,
    )


@given(
    st.lists(st.lists(st.binary(min_size=16, max_size=16), max_size=8), max_size=6),
    st.integers(1, 20),
    st.binary(max_size=15),
)
def test_merged_records_are_the_greatest_of_all(parts, limit, rest):
    """The result equals a sort of all records; an incomplete record is ignored."""
    merged = merge_records([b''.join(part) + rest for part in parts], limit)
    everything = sorted((record for part in parts for record in part), reverse=True)
    assert merged == b''.join(everything[:limit])


@given(st.lists(st.sampled_from('ab'), max_size=4), st.lists(st.sampled_from('ab')))
def test_longest_prefix_wins(extra, path):
    """The prefix of the route found begins the path, and no longer prefix does."""
    prefixes = ['/', '/a/', '/a/b/', '/b/'] + [
        '/' + ''.join(f'{each}/' for each in extra)
    ]
    routes = tuple(make_route(prefix) for prefix in dict.fromkeys(prefixes))
    state = DesiredState(
        version=1, revision=Revision(1), routes=routes, services={}, limits=LIMITS
    )
    target = '/' + '/'.join(path)
    found = RouteTable(state).find('jobs.example', target)
    begins = [each.prefix for each in routes if target.startswith(each.prefix)]
    assert found is not None
    assert found.prefix == max(begins, key=len)
    assert RouteTable(state).find('other.example', target) is None


@given(st.lists(st.integers(1, 9), min_size=1, max_size=5), st.integers(1, 200))
def test_weighted_round_robin_stays_within_one_request_of_the_weights(
    weights, requests
):
    """After any number of requests each service has its share, within one request."""
    round_robin = WeightedRoundRobin()
    choices = [
        WeightedService(ServiceId(f's-{number}'), weight)
        for number, weight in enumerate(weights)
    ]
    counts = {choice.service: 0 for choice in choices}
    for _ in range(requests):
        counts[round_robin.choose(RouteId('r'), choices)] += 1
    for choice in choices:
        share = requests * choice.weight / sum(weights)
        assert abs(counts[choice.service] - share) <= 1


@pytest.mark.parametrize(
    ('total', 'least', 'needed'),
    [(10, 0.89, 9), (15, 0.89, 14), (10, 0.75, 8), (3, 1, 3)],
)
def test_least_coverage_is_a_number_of_shards(total, least, needed):
    """The smallest number of shards that reaches the least coverage is required."""
    shards = ShardSet(tuple(map(ServiceId, map(str, range(total)))), 5, least)
    assert count_required_shards(shards) == needed


def test_answer_goes_out_before_the_objective():
    """A search waits for all shards until the answer time, then only for enough."""
    route = make_route()
    answer_at = choose_answer_time(route, Seconds(10), Seconds(11))
    assert 10.16 < answer_at < 10.18
    assert isinstance(
        choose_wait_policy(answer_at, Seconds(11), Seconds(10)), WaitForAll
    )
    late = choose_wait_policy(answer_at, Seconds(11), Seconds(10.2))
    assert late == AnswerWhenEnough(Seconds(11))


def test_concurrency_limit_follows_queueing_at_the_upstream():
    """It falls once a round trip at most while replies are slow, and grows if used."""
    concurrency = ConcurrencyLimit(limit=8)
    concurrency.note_reply(4, 8, Seconds(1), Seconds(2))
    assert concurrency.limit == 6
    concurrency.note_reply(4, 8, Seconds(1.5), Seconds(2.1))
    assert concurrency.limit == 6
    concurrency.note_reply(4, 6, Seconds(2.5), Seconds(3))
    assert concurrency.limit == 4.5
    for number in range(30):
        concurrency.note_reply(1, 9, Seconds(4 + number), Seconds(5 + number))
    assert concurrency.limit > 8
    assert not concurrency.allows(int(concurrency.limit))
    for number in range(60):
        concurrency.note_shed(Seconds(100 + number), Seconds(101 + number))
    assert concurrency.allows(0)
    assert not concurrency.allows(1)


def test_requests_in_time_rank_before_late_ones():
    """Rank by priority, then by the end of the objective; late requests come last."""
    baseline, now = Seconds(0.05), Seconds(10)
    urgent = PendingRequest(make_route(priority=0), Seconds(10.3), Seconds(12))
    sooner = PendingRequest(make_route(priority=1), Seconds(10.2), Seconds(11))
    later = PendingRequest(make_route(priority=1), Seconds(10.25), Seconds(11))
    late = PendingRequest(make_route(priority=0), Seconds(10.04), Seconds(10.5))
    pending_requests = [late, later, urgent, sooner]
    pending_requests.sort(key=lambda pending: rank_pending(pending, baseline, now))
    assert pending_requests == [urgent, sooner, later, late]


def test_waiting_is_refused_when_it_cannot_help():
    """No upstream, a pause beyond the objective, or a queue beyond the deadline."""
    pending = PendingRequest(make_route(), Seconds(10.2), Seconds(11))
    now, none = Seconds(10), Seconds(0)
    assert is_waiting_useful(none, none, pending, now)
    assert is_waiting_useful(none, Seconds(0.5), pending, now)
    assert not is_waiting_useful(None, none, pending, now)
    assert not is_waiting_useful(Seconds(0.3), none, pending, now)
    assert not is_waiting_useful(none, Seconds(1.5), pending, now)


def test_hedge_delay_is_capped_by_the_median():
    """A fifth of slow calls raises the high quantile, but not the hedge delay."""
    recent = RecentLatency()
    assert choose_hedge_delay(recent, 1) is None
    for number in range(200):
        is_slow = number % 5 == 0
        recent.record(Seconds(0.25 if is_slow else 0.02), Seconds(number / 100))
    assert choose_hedge_delay(recent, 1) == pytest.approx(0.04)
    assert choose_hedge_delay(recent, 0) == pytest.approx(0.1)


def test_baseline_ignores_a_queue():
    """When all calls become slower because of a queue, the baseline stays the same."""
    recent = RecentLatency()
    for number in range(400):
        recent.record(Seconds(0.02), Seconds(number / 100))
    for number in range(600):
        recent.record(Seconds(0.2), Seconds(4 + number / 100))
    assert recent.estimate_quantile(0.5) == 0.2
    assert recent.estimate_baseline() == 0.02


@pytest.mark.parametrize('hosts', [1, 4, 28])
def test_budgets_of_all_hosts_stay_within_the_bound(hosts):
    """All hosts together withdraw no more than the ratio and the slack allow."""
    budgets = [make_extra_budget(0.2, 52, hosts) for _ in range(hosts)]
    requests, withdrawn = 0, 0
    for _ in range(100):
        for budget in budgets:
            budget.deposit()
            requests += 1
            withdrawn += budget.withdraw()
            withdrawn += budget.withdraw()
    slack = 52 if hosts <= 44 else hosts
    assert withdrawn <= 0.2 * requests + slack


@pytest.mark.parametrize(
    ('hosts', 'slack', 'rate'), [(4, 52, 90), (28, 182, 56), (78, 430, 50)]
)
def test_any_window_stays_within_the_bound(hosts, slack, rate):
    """Hosts that always send more, and restart twice in a window, keep the limit.

    Load pattern: every request could use extra sends for a minute, and all hosts are
    killed at 31 s and again at 35 s. The slack that comes back with time is used.
    """
    window, ratio = 10, 0.2

    def make(now, *, starts_full):
        budget = make_extra_budget(ratio, slack, hosts, starts_full=starts_full)
        resize_extra_budget(budget, ratio, slack, hosts, Seconds(window))
        budget.refill(Seconds(now))
        return budget

    budgets = [make(0, starts_full=True) for _ in range(hosts)]
    extra = []  # extra sends at each request
    for number in range(rate * 60):
        now = number / rate
        if number in {rate * 31, rate * 35}:
            budgets = [make(now, starts_full=False) for _ in range(hosts)]
        budget = budgets[number % hosts]
        budget.refill(Seconds(now))
        budget.deposit()
        extra.append(0)
        while budget.withdraw():
            extra[-1] += 1
    span = rate * window
    most = max(sum(extra[at : at + span]) for at in range(len(extra) - span))
    assert most <= ratio * span + slack
    # Each host may hold back less than one token.
    regained = 2 * (budgets[0].ratio * span + REFILL_FRACTION * slack) - hosts
    assert sum(extra[rate * 40 :]) >= regained


def test_host_that_learns_of_others_keeps_only_its_share():
    """A budget made for one host shrinks to a quarter once four hosts are known."""
    budget = make_extra_budget(0.2, 52, 1)
    budget.resize(divide_slack(52, 4))
    withdrawn = sum(budget.withdraw() for _ in range(100))
    assert 0 < withdrawn <= 52 / 4


def test_hedges_leave_budget_for_retries():
    """Hedges leave the last quarter of the retry budget to retries."""
    budget = make_extra_budget(0.2, 52, 4)
    hedges = 0
    while may_hedge(budget) and budget.withdraw():
        hedges += 1
    assert hedges > 5
    assert budget.withdraw()


def make_missing_upstreams(*names):
    """Return a tracker of upstreams that vanished, each of a different service."""
    missing_upstreams = MissingUpstreams(choose_retention(Seconds(3)))
    for name in names:
        registration = make_registration(name, service=name)
        missing_upstreams.note_vanished(registration, Seconds(10))
    return missing_upstreams


def list_retained_names(missing_upstreams, *present):
    """Return the retained upstreams while others are registered.

    Args:
        missing_upstreams: the tracker of vanished upstreams.
        present: the service of each registered upstream.
    """
    registrations = [
        make_registration(f'{each}-{number}', service=each)
        for number, each in enumerate(present)
    ]
    return [each.upstream for each in missing_upstreams.list_retained(registrations)]


def test_vanished_registration_is_retained_unless_it_was_draining():
    """A ready one is retained for a while; a draining or returned one is not."""
    assert 2 <= choose_retention(Seconds(3)) < 3
    missing_upstreams = make_missing_upstreams('a', 'b')
    draining = make_registration('c', RegistrationState.DRAINING)
    missing_upstreams.note_vanished(draining, Seconds(10))
    missing_upstreams.note_present(UpstreamId('b'))
    assert list_retained_names(missing_upstreams) == ['a']
    assert missing_upstreams.drop_expired(Seconds(12)) == ()
    assert missing_upstreams.drop_expired(Seconds(12.3)) == ('a',)
    assert list_retained_names(missing_upstreams) == []


def test_upstreams_that_vanish_alone_are_not_retained():
    """One is dropped, unless no other upstream of its service is registered."""
    missing_upstreams = make_missing_upstreams('a', 'b')
    assert list_retained_names(missing_upstreams, *'aabbcccc') == []
    assert list_retained_names(missing_upstreams, *'aacccccc') == ['b']


def test_upstreams_that_vanish_together_are_retained():
    """Over a third missing at once is a mass expiry, so the upstreams are retained.

    This holds although other upstreams of the same services are registered.
    """
    missing_upstreams = make_missing_upstreams(*'abcd')
    assert list_retained_names(missing_upstreams, *'abcdabcdabcd') == []
    assert list_retained_names(missing_upstreams, *'abcdabcd') == list('abcd')


def make_fleet(zones, hosts_per_zone):
    """Return the zone of each host of a fleet."""
    return {
        HostId(f'h-{zone}-{number}'): ZoneId(f'z{zone}')
        for zone in range(zones)
        for number in range(hosts_per_zone)
    }


def test_links_do_not_grow_with_the_fleet():
    """A host links to the relays of its zone, and a relay to all other relays.

    The two store watchers are relays of different zones.
    """
    hosts = make_fleet(10, 68)
    relays = choose_relays(hosts)
    watchers = choose_watchers(hosts)
    assert all(each in relays[hosts[each]] for each in watchers)
    assert hosts[watchers[0]] != hosts[watchers[1]]
    for host, zone in hosts.items():
        links = choose_links(host, zone, relays)
        is_relay = host in relays[zone]
        assert len(links) == (19 if is_relay else 2)
        sources = choose_sources(host, zone, relays, watchers)
        assert 1 <= len(sources) <= 2
        assert set(sources) <= set(links)


def test_refused_callers_get_spread_retry_times():
    """They retry when capacity is expected, within a third of the time they have."""
    retry_times = [
        choose_retry_after(Seconds(0.2), Seconds(0.1), Seconds(3), step / 10)
        for step in range(11)
    ]
    assert retry_times[0] == pytest.approx(0.2)
    assert retry_times[-1] == pytest.approx(1)
    assert retry_times == sorted(retry_times)
    assert choose_retry_after(None, Seconds(0), Seconds(0), 0.5) > 0
