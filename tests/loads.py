"""Open-loop load on a tier, and a report of its answers."""

import asyncio
import random
from dataclasses import dataclass, field

from rattanspoke.model import Answer, OrganisationId, Outcome, RequestError
from rattanspoke.standins import HALVORSEN

from .tiers import Tier


@dataclass
class LoadReport:
    """Answers and refusals of one run.

    Attributes:
        latencies: seconds that each answered search took.
        coverages: fraction of the shards that each answer covers.
        refusals: errors of the searches that got no answer.
        answers: the answers, in the order of their arrival.
    """

    latencies: list[float] = field(default_factory=list)
    coverages: list[float] = field(default_factory=list)
    refusals: list[RequestError] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)

    def quantile(self, fraction: float) -> float:
        """Return a quantile of the latencies in seconds."""
        ranked = sorted(self.latencies)
        return ranked[min(len(ranked) - 1, int(fraction * len(ranked)))]

    @property
    def coverage(self) -> float:
        """The mean coverage of the answers."""
        return sum(self.coverages) / max(1, len(self.coverages))

    @property
    def useful(self) -> int:
        """The number of answers that cover every shard."""
        return sum(coverage == 1 for coverage in self.coverages)


def merge_reports(reports: list[LoadReport]) -> LoadReport:
    """Return one report over several runs."""
    whole = LoadReport()
    for report in reports:
        whole.latencies += report.latencies
        whole.coverages += report.coverages
        whole.refusals += report.refusals
        whole.answers += report.answers
    return whole


async def drive(
    tier: Tier,
    rate: float,
    seconds: float,
    organisation: OrganisationId = HALVORSEN,
    budget: float = 1,
    seed: int = 7,
    words: tuple[str, ...] = ('glass', 'pane', 'ring', 'clasp'),
) -> LoadReport:
    """Send searches to the hosts in turn, as a Poisson process, and return a report.

    The load is open-loop: a search is sent whether or not earlier ones were answered.
    Every refused search must have been refused before any upstream ran it.

    Args:
        tier: the tier under load.
        rate: searches a second, on average.
        seconds: the length of the run.
        organisation: the organisation that searches.
        budget: seconds until the deadline of each search.
        seed: of the random arrivals and queries.
        words: the queries to choose from.
    """
    source = random.Random(seed)
    report = LoadReport()
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    tasks = []

    async def ask(host, query):
        started = loop.time()
        try:
            answer = await tier.search(host, query, organisation, budget)
        except RequestError as error:
            report.refusals.append(error)
            return
        report.latencies.append(loop.time() - started)
        total = len(answer.covered) + len(answer.missing)
        report.coverages.append(len(answer.covered) / total)
        report.answers.append(answer)

    number = 0
    while loop.time() < end:
        hosts = tier.hosts
        host = hosts[number % len(hosts)]
        tasks.append(asyncio.ensure_future(ask(host, source.choice(words))))
        number += 1
        await asyncio.sleep(source.expovariate(rate))
    await asyncio.gather(*tasks)
    assert all(error.outcome is Outcome.NOT_RUN for error in report.refusals)
    return report
