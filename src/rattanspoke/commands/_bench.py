"""Send searches to hosts at a fixed rate; report latency, coverage and extra load."""

import asyncio
import random
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import pyjson5
from cleo.commands.command import Command
from cleo.helpers import argument
from hdrh.histogram import HdrHistogram

from .._exit_codes import ExitCode
from ..model import SettingsError

MICROSECONDS_PER_SECOND = 1_000_000
MAX_LATENCY_US = 60 * MICROSECONDS_PER_SECOND
SIGNIFICANT_DIGITS = 3  # of a recorded latency
PERCENTILES = (50, 90, 99, 99.9)
MAX_CONNECTIONS = 256  # open at once, to all hosts together


@dataclass(frozen=True, slots=True, kw_only=True)
class BenchCase:
    """Settings of one benchmark run, as read from its file.

    Attributes:
        hosts: base URLs of the hosts, which get the searches in turn.
        token: the bearer token of the organisation that sends the searches.
        service: the service that is searched.
        queries: the texts of which each search gets a random one.
        rate: the mean number of searches per second. The load is open-loop: searches
            are sent whether or not earlier ones have been answered.
        seconds: the duration of the measured phase.
        warm_up: the duration in seconds of the warm-up before it, whose answers are
            not counted.
        deadline_ms: the deadline of each search in milliseconds.
        seed: the seed of the random send times and queries.
    """

    hosts: list[str]
    token: str
    service: str = 'jobs'
    queries: list[str] = field(default_factory=lambda: ['glass', 'ring', 'clasp'])
    rate: float = 20
    seconds: float = 20
    warm_up: float = 5
    deadline_ms: float = 1000
    seed: int = 1


class BenchResults:
    """Latencies, coverage and refusals of one benchmark run."""

    def __init__(self) -> None:
        self.latencies = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.answers = 0
        self.complete = 0
        self.covered = 0
        self.shards = 0
        self.refusals: dict[str, int] = {}

    def record_answer(self, answer: dict[str, Any], latency: float) -> None:
        """Count an answer or a refusal.

        Args:
            answer: the decoded response body.
            latency: the seconds from the planned send time to the answer. It is
                recorded for answers only.
        """
        if 'hits' not in answer:
            reason = str(answer.get('reason'))
            self.refusals[reason] = self.refusals.get(reason, 0) + 1
            return
        self.latencies.record_value(int(latency * MICROSECONDS_PER_SECOND))
        self.answers += 1
        self.complete += bool(answer['complete'])
        self.covered += len(answer['covered'])
        self.shards += len(answer['covered']) + len(answer['missing'])

    def describe(self) -> list[str]:
        """Return the lines of the report."""
        lines = [
            (
                f'answers {self.answers}, complete {self.complete},'
                f' coverage {self.covered / max(1, self.shards):.4f}'
            )
        ]
        for percentile in PERCENTILES:
            micros = self.latencies.get_value_at_percentile(percentile)
            lines.append(f'p{percentile:g}: {micros / 1000:.2f} ms')
        lines += [
            f'refused {reason}: {count}' for reason, count in self.refusals.items()
        ]
        return lines


class BenchCommand(Command):
    """Run a benchmark case against hosts that are already running."""

    name = 'bench'
    description = 'Sends searches at a fixed rate; reports latency and coverage.'
    arguments = [argument('case', 'A benchmark case, in JSON with comments.')]

    def handle(self) -> int:
        """Read the case, run it and print the report."""
        try:
            case = load_bench_case(Path(self.argument('case')))
        except SettingsError as error:
            self.line_error(str(error), style='error')
            return ExitCode.INVALID
        results, before, after = asyncio.run(run_bench_case(case))
        self.line(f'{case.rate:g} a second for {case.seconds:g} s, seed {case.seed}')
        for line in results.describe():
            self.line(line)
        shard_requests = after['asked'] - before['asked']
        hedges = after['hedged'] - before['hedged']
        self.line(
            f'extra load: {hedges / max(1, shard_requests - hedges):.4f} of the shards'
        )
        return ExitCode.OK if results.answers else ExitCode.FAILED


def load_bench_case(path: Path) -> BenchCase:
    """Read a benchmark case from a file.

    Raises:
        SettingsError: the file cannot be read or a setting is not valid. The message
            names the file, the key and the reason.
    """
    try:
        decoded = pyjson5.decode(path.read_text(encoding='utf-8'))
    except (OSError, pyjson5.Json5Exception) as error:
        raise SettingsError(f'{path}: {error}') from error
    unknown = set(decoded) - {each.name for each in fields(BenchCase)}
    if unknown:
        raise SettingsError(
            f'{path}: {min(unknown)}: is not a setting of a benchmark case'
        )
    try:
        return msgspec.convert(decoded, BenchCase)
    except msgspec.ValidationError as error:
        raise SettingsError(f'{path}: {error}') from error


async def run_bench_case(
    case: BenchCase,
) -> tuple[BenchResults, dict[str, float], dict[str, float]]:
    """Run the warm-up and the measured phase of a case.

    Returns:
        The results of the measured phase, the hosts' counters before it, and those
        after it.
    """
    connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
    async with aiohttp.ClientSession(connector=connector) as session:
        await _send_searches(session, case, case.warm_up, BenchResults())
        before = await _read_counters(session, case)
        results = BenchResults()
        await _send_searches(session, case, case.seconds, results)
        return results, before, await _read_counters(session, case)


async def _send_searches(
    session: aiohttp.ClientSession,
    case: BenchCase,
    seconds: float,
    results: BenchResults,
) -> None:
    """Send searches with exponential intervals, without waiting for answers."""
    randomness = random.Random(case.seed)
    loop = asyncio.get_running_loop()
    due_at = loop.time()
    end_at = due_at + seconds
    tasks: list[asyncio.Task[None]] = []
    while due_at < end_at:
        await asyncio.sleep(due_at - loop.time())
        url = case.hosts[len(tasks) % len(case.hosts)]
        query = randomness.choice(case.queries)
        tasks.append(
            loop.create_task(_send_search(session, case, url, query, results, due_at))
        )
        due_at += randomness.expovariate(case.rate)
    await asyncio.gather(*tasks)


async def _send_search(
    session: aiohttp.ClientSession,
    case: BenchCase,
    url: str,
    query: str,
    results: BenchResults,
    due_at: float,
) -> None:
    """Send one search and measure its latency from its planned send time.

    A search that is sent late because this process is busy counts with the delay, so
    that the report does not hide it.
    """
    body = {'service': case.service, 'query': query, 'deadline_ms': case.deadline_ms}
    headers = {'Authorization': f'Bearer {case.token}'}
    try:
        async with session.post(
            f'{url}/v1/search', json=body, headers=headers
        ) as response:
            answer = await response.json()
    except aiohttp.ClientError as error:
        answer = {'reason': type(error).__name__}
    results.record_answer(answer, asyncio.get_running_loop().time() - due_at)


async def _read_counters(
    session: aiohttp.ClientSession, case: BenchCase
) -> dict[str, float]:
    """Return the sums over all hosts of the counters that show extra load."""
    totals: dict[str, float] = {'asked': 0, 'hedged': 0}
    names = {
        'rattanspoke_shard_requests_total': 'asked',
        'rattanspoke_hedged_shards_total': 'hedged',
    }
    for url in case.hosts:
        async with session.get(f'{url}/metrics') as response:
            text = await response.text()
        for line in text.splitlines():
            name = line.partition('{')[0].partition(' ')[0]
            if name in names:
                totals[names[name]] += float(line.rpartition(' ')[2])
    return totals
