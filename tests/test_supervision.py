"""Background work goes on after unexpected errors, whichever service it is of."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from typing import NoReturn

import pytest

from rattanspoke.contracts import (
    COUNTERS,
    FLEET,
    MEMBERS,
    READINESS,
    SHARED_STATE,
    SUPERVISOR,
    BackgroundWork,
    Importance,
    Metric,
)
from rattanspoke.decisions import MAX_RESTART_DELAY as MAX_DELAY
from rattanspoke.decisions import RECOVERY_TIME
from rattanspoke.kernel import Kernel
from rattanspoke.model import HostState, RattanspokeError, Relayed
from rattanspoke.services import HostCounters, HostSupervisor

from .edges import SETTLE_SECONDS, Edge, build_route
from .tiers import Tier

UNEXPECTED = 'injected'
# Each piece of work takes a step within this time; a long poll ends after 20 s.
FAILURE_SECONDS = 30
# What work may be waiting for when it is cancelled or a call fails.
PASSED_ON = (asyncio.CancelledError, RattanspokeError, OSError, TimeoutError)
FINITE_WORK = {'registration', 'search for hosts', 'start of the state'}


@dataclass
class StepFault:
    """Makes each piece of background work fail once, at its next step.

    Attributes:
        is_armed: whether work that has not failed yet fails at its next step.
        failed: the work that has failed.
        steps: number of steps of each piece of work.
    """

    is_armed: bool = False
    failed: set = field(default_factory=set)
    steps: Counter = field(default_factory=Counter)

    def inject(self, work):
        """Return the work, failing as this fault says."""
        return BackgroundWork(work.name, lambda: self._run(work), work.importance)

    async def _run(self, work):
        await _Steps(self, work)

    def fail_now(self, work):
        """Return whether work fails at this step."""
        self.steps[work] += 1
        if not self.is_armed or work in self.failed:
            return False
        self.failed.add(work)
        return True


@dataclass
class _Steps:
    """Awaitable that drives the coroutine of some work step by step."""

    fault: StepFault
    work: BackgroundWork

    def __await__(self):
        coroutine = self.work.start()
        step = partial(coroutine.send, None)
        while True:
            if self.fault.fail_now(self.work):
                step = partial(coroutine.throw, RuntimeError(UNEXPECTED))
            try:
                waited = step()
            except StopIteration:
                return
            try:
                yield waited
            except PASSED_ON as error:
                step = partial(coroutine.throw, error)
            else:
                step = partial(coroutine.send, None)


@pytest.fixture
def fault(monkeypatch):
    """Return a fault that applies to all background work of all hosts."""
    found = StepFault()
    run = HostSupervisor.run
    monkeypatch.setattr(
        HostSupervisor, 'run', lambda self, work: run(self, found.inject(work))
    )
    return found


def forgive():
    """Let the loop's handler accept the injected error, and no other."""
    loop = asyncio.get_running_loop()
    former = loop.get_exception_handler()

    def handle(loop, context):
        if UNEXPECTED not in str(context.get('exception')):
            former(loop, context)

    loop.set_exception_handler(handle)


async def fail_all(fault, kernels):
    """Make all work of some hosts fail at its next step; wait until it goes on.

    All work that runs is found by way of the kernels, so that work which a service
    adds later is covered as well.
    """
    forgive()
    fault.is_armed = True
    await asyncio.sleep(FAILURE_SECONDS)
    fault.is_armed = False
    before = fault.steps.copy()
    await asyncio.sleep(FAILURE_SECONDS)
    for kernel in kernels:
        supervisor = kernel.find(SUPERVISOR)
        assert supervisor.running()
        for work in supervisor.running():
            assert supervisor.failures(work.name), work
            total = kernel.find(COUNTERS).total(Metric.TASK_FAILURES, work.name)
            assert total == supervisor.failures(work.name)
        assert not supervisor.is_impaired
    going_on = {work.name for work in fault.steps if fault.steps[work] > before[work]}
    assert {work.name for work in fault.failed} <= going_on | FINITE_WORK


def test_hosts_on_the_platform_go_on_after_each_failure(run, fault):
    """State, heartbeats and host entries are followed as before."""

    async def scene():
        async with Edge(hosts=3) as edge:
            edge.add_service('one')
            edge.configure(build_route('one'))
            await asyncio.sleep(SETTLE_SECONDS)
            changing = asyncio.ensure_future(change_state(edge))
            await fail_all(fault, edge.kernels.values())
            changing.cancel()
            draining = edge.by_service['one'][0]
            entry = draining.register(state='draining')
            edge.store.put('registrations', draining.name, entry)
            version = edge.configure(build_route('one'))
            await asyncio.sleep(1)
            draining.arrivals.clear()
            for host, kernel in edge.kernels.items():
                assert kernel.find(SHARED_STATE).desired.version == version
                assert len(kernel.find(FLEET).live_hosts()) == 3
                assert kernel.find(READINESS).is_ready
                assert isinstance(await edge.ask(host), Relayed)
            assert not draining.arrivals

    run(scene())


async def change_state(edge):
    """Change every kind of state now and then, so that each watch takes steps."""
    while True:
        await asyncio.sleep(3)
        edge.configure(build_route('one'))
        edge.store.put('evacuated zones', 'west', b'{}')
        edge.store.put('evacuated zones', 'west', None)
        entry = edge.by_service['one'][1].register(sequence=2)
        edge.store.put('registrations', 'one-1', entry)


def test_hosts_of_the_tier_go_on_after_each_failure(run, fault):
    """Records, heartbeats, seats and claims are handled as before."""

    async def scene():
        async with Tier() as tier:
            booking = asyncio.ensure_future(book_now_and_then(tier))
            await fail_all(fault, tier.kernels.values())
            booking.cancel()
            answer = await tier.search(tier.hosts[0])
            assert not answer.missing
            for kernel in tier.kernels.values():
                live = kernel.find(MEMBERS).select(HostState.LIVE)
                assert len(live) == len(tier.kernels)

    run(scene())


async def book_now_and_then(tier):
    """Make bookings, so that the tasks of claims take steps."""
    for number in count():
        await asyncio.sleep(0.5)
        await tier.book(tier.hosts[0], f'key-{number}')


def test_host_is_not_ready_while_essential_work_keeps_failing(run):
    """It is ready again after the work has run for some time."""

    async def scene():
        forgive()
        kernel = Kernel()
        kernel.provide(COUNTERS, HostCounters())
        supervisor = HostSupervisor(kernel)
        is_broken = True

        async def work() -> NoReturn:
            while True:
                await asyncio.sleep(0.01)
                if is_broken:
                    raise RuntimeError(UNEXPECTED)

        for name, importance in (
            ('a', Importance.ESSENTIAL),
            ('b', Importance.AUXILIARY),
        ):
            is_broken = True
            task = asyncio.ensure_future(
                supervisor.run(BackgroundWork(name, work, importance))
            )
            await asyncio.sleep(60)
            assert supervisor.is_impaired == (importance is Importance.ESSENTIAL)
            # The delay between restarts is bounded on both sides.
            assert 60 / MAX_DELAY <= supervisor.failures(name) <= 60 / MAX_DELAY + 6
            is_broken = False
            await asyncio.sleep(MAX_DELAY + RECOVERY_TIME + 1)
            assert not supervisor.is_impaired
            task.cancel()

    run(scene())


def test_work_that_comes_to_its_end_is_not_started_again(run):
    """Only unexpected errors start work again."""

    async def scene():
        kernel = Kernel()
        kernel.provide(COUNTERS, HostCounters())
        supervisor = HostSupervisor(kernel)
        await supervisor.run(BackgroundWork('once', partial(asyncio.sleep, 1)))
        assert not supervisor.running()
        assert not supervisor.failures('once')

    run(scene())
