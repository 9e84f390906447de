"""Invariants of the tier that several tests check."""

from rattanspoke.contracts import CATALOG, SEATS
from rattanspoke.model import Answer, Outcome, Receipt, RequestError
from rattanspoke.standins import WERKBANK

from .tiers import Tier


def check_answer(tier: Tier, answer: Answer, query: str, limit: int) -> None:
    """Check that an answer equals a search of its covered shards at its version."""
    data = tier.environment.index
    shards = data.versions[answer.version]
    assert set(answer.covered) | set(answer.missing) == set(shards)
    assert not set(answer.covered) & set(answer.missing)
    assert answer.hits == data.search(answer.version, answer.covered, query, limit)


def check_booking(tier: Tier, content: str, results: list) -> None:
    """Check that a booking ran at most once and that its results are true."""
    runs = tier.executions(content)
    assert runs <= 1
    for result in results:
        if isinstance(result, Receipt):
            assert runs == 1
    last = results[-1]
    if isinstance(last, RequestError) and last.outcome is Outcome.NOT_RUN:
        assert runs == 0


def check_upstreams(tier: Tier) -> None:
    """Check that no upstream had calls or connections over its limit, cold or warm."""
    for upstream in tier.environment.upstreams.values():
        stats, record = upstream.stats, upstream.record
        assert stats.peak_in_flight <= record.slots, record.upstream
        assert stats.peak_connections <= record.connections, record.upstream
        assert stats.calls_over_capacity == 0, record.upstream


def check_seats(tier: Tier) -> None:
    """Check that no seat is held by two hosts."""
    for name in tier.environment.upstreams:
        held = [
            seat
            for kernel in tier.kernels.values()
            for seat in kernel.find(SEATS).held(name)
        ]
        assert len(set(held)) == len(held), name


def check_configuration(tier: Tier) -> None:
    """Check that every host has the newest object of each name."""
    for kernel in tier.kernels.values():
        catalog = kernel.find(CATALOG)
        for stored in catalog.select_after(0):
            newest = tier.environment.platform.find(stored.kind, stored.name)
            assert stored.revision == newest.revision, stored.name


async def check_service(tier: Tier) -> None:
    """Check after a fault that every host answers in full and that bookings run."""
    for host in tier.hosts:
        answer = await tier.search(host, organisation=WERKBANK)
        assert answer.missing == {}, (host, answer.missing)
        check_answer(tier, answer, 'glass', 10)
    receipt = await tier.book(tier.hosts[-1], 'after', content='after', budget=3)
    assert receipt.outcome is Outcome.RAN
