"""End to end on virtual time: a search and a booking through several hosts."""

from rattanspoke.model import Outcome
from rattanspoke.standins import FIRST_VERSION

from .tiers import Tier


def test_search_covers_every_shard(run):
    """An answer covers every shard and holds the best hits of the pinned version."""

    async def scene():
        async with Tier() as tier:
            answer = await tier.search(tier.hosts[0])
            shards = tier.environment.index.versions[FIRST_VERSION]
            assert answer.missing == {}
            assert answer.covered == tuple(sorted(shards))
            expected = tier.environment.index.search(FIRST_VERSION, shards, 'glass', 10)
            assert answer.hits == expected

    run(scene())


def test_booking_runs_once(run):
    """A key that is sent again gets the stored reference, and nothing runs twice."""

    async def scene():
        async with Tier() as tier:
            first = await tier.book(tier.hosts[0], 'key-1')
            again = await tier.book(tier.hosts[1], 'key-1')
            assert first.outcome is Outcome.RAN
            assert again.repeated
            assert again.reference == first.reference
            assert tier.executions('resize ring') == 1

    run(scene())
