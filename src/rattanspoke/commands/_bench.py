"""Drive hosts over HTTP at a steady rate and report latency, coverage and load."""

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

from ..model import SettingsError
from ._codes import ExitCode

MICROSECONDS_PER_SECOND = 1_000_000  # in a second
MAX_LATENCY_US = 60 * MICROSECONDS_PER_SECOND
SIGNIFICANT_DIGITS = 3  # significant digits of a recorded latency
PERCENTILES = (50, 90, 99, 99.9)
MAX_CONNECTIONS = 256  # to all hosts together


@dataclass(frozen=True, slots=True, kw_only=True)
class BenchCase:
    """One run, as its settings file states it.

    Attributes:
        hosts: base URLs, asked in turn.
        token: the organisation's bearer token.
        rate: searches a second, sent whether or not answers come.
        seconds: for which to send.
        warm_up: seconds before that whose answers do not count.
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
    """What came of one run."""

    def __init__(self) -> None:
        self.latencies = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.answers = 0
        self.complete = 0
        self.covered = 0
        self.shards = 0
        self.refusals: dict[str, int] = {}

    def record_answer(self, answer: dict[str, Any], latency: float) -> None:
        """Count an answer or a refusal."""
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
        """Return the report's lines."""
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
    """Run the case of a settings file against hosts that already run."""

    name = 'bench'
    description = 'Sends searches at a steady rate and reports what came of them.'
    arguments = [argument('case', 'A file with the case, in JSON with comments.')]

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
    """Return the case of a file.

    Raises:
        SettingsError: which names the file, the key and the reason.
    """
    try:
        decoded = pyjson5.decode(path.read_text(encoding='utf-8'))
    except (OSError, pyjson5.Json5Exception) as error:
        raise SettingsError(f'{path}: {error}') from error
    unknown = set(decoded) - {each.name for each in fields(BenchCase)}
    if unknown:
        raise SettingsError(f'{path}: {min(unknown)}: is not a setting of a case')
    try:
        return msgspec.convert(decoded, BenchCase)
    except msgspec.ValidationError as error:
        raise SettingsError(f'{path}: {error}') from error


async def run_bench_case(
    case: BenchCase,
) -> tuple[BenchResults, dict[str, float], dict[str, float]]:
    """Warm up, run, and return the tally with the hosts' counters around it."""
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
    """Send at Poisson times; never wait for an answer before the next."""
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
    """Send one search; its latency counts from the time at which it was due."""
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
