"""Run a host on the users' platform: listeners, signals and graceful shutdown."""

import asyncio
import random
import secrets
import signal
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import replace
from pathlib import Path
from types import TracebackType
from typing import Self

import structlog
import uvicorn
import uvloop

from ._edge import EdgeAdapters, assemble_edge
from ._listening import (
    DEFAULT_LIMITS,
    LINGER,
    EmbeddedServer,
    make_bounded_protocol,
)
from ._reload import SettingsReload
from .contracts import (
    FLEET,
    LIFECYCLE,
    RULES,
    SHARED_STATE,
    SUPERVISOR,
    BackgroundWork,
    EdgeRules,
    Identity,
    Importance,
    RetryBudgetRule,
    SlowStartRule,
)
from .kernel import Kernel
from .model import CallerLimits, HostEntry, Incarnation, Seconds
from .observability import render_metrics
from .peering import GrpcTransport
from .platform import (
    Application,
    HostSettings,
    HttpStore,
    HttpUpstreamConnector,
    JsonStateCodec,
    make_caller_app,
    make_probe_app,
)
from .services import HostCounters, HostTimeline

# The load balancer takes a host out of rotation after two failed readiness probes that
# are one second apart.
LOAD_BALANCER_DELAY = Seconds(2.5)
# Part of the grace period between SIGTERM and SIGKILL that is left after the drain, to
# stop services and close connections.
SHUTDOWN_RESERVE = Seconds(0.7)
MAX_SEED = 2**32


class EdgeProcess:
    """A host that serves callers and readiness probes from entry to exit."""

    def __init__(self, settings: HostSettings) -> None:
        self._settings = settings
        self.kernel = _assemble(settings)
        callers = make_caller_app(self.kernel)
        probes = make_probe_app(self.kernel, render_metrics)
        self._caller_server = _make_server(
            callers, settings.callers, self._find_caller_limits
        )
        self._probe_server = _make_server(
            probes, settings.probes, lambda: DEFAULT_LIMITS, linger=Seconds(0)
        )
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self.kernel)
            await stack.enter_async_context(self._probe_server)
            await stack.enter_async_context(self._caller_server)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._stack.aclose()

    def apply_settings(self, settings: HostSettings) -> None:
        """Apply the rules of changed settings without a restart.

        Whether the whole system starts for the first time was decided at the start.
        """
        is_first_start = self._settings.is_first_start
        settings = replace(settings, is_first_start=is_first_start)
        self._settings = settings
        self.kernel.find(RULES).replace(_make_rules(settings))

    async def leave(self) -> bool:
        """Shut down gracefully.

        The host fails its readiness probes, but accepts requests until the load
        balancer has taken it out of rotation. Then it closes the listener for callers
        and completes the work in flight.

        Returns:
            Whether all work ended within the grace period.
        """
        lifecycle = self.kernel.find(LIFECYCLE)
        lifecycle.leave()
        self.kernel.find(FLEET).announce_leaving()
        await asyncio.sleep(LOAD_BALANCER_DELAY)
        self._caller_server.stop()
        remaining = self._settings.grace - LOAD_BALANCER_DELAY - SHUTDOWN_RESERVE
        return await lifecycle.drain(Seconds(max(0, remaining)))

    def _find_caller_limits(self) -> CallerLimits:
        desired = self.kernel.find(SHARED_STATE).desired
        return desired.limits if desired else DEFAULT_LIMITS


async def _serve(path: Path, settings: HostSettings) -> bool:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    log = structlog.get_logger()
    starting = EdgeProcess(settings)
    reload = SettingsReload(path, settings, starting.apply_settings)
    loop.add_signal_handler(signal.SIGHUP, reload.reload)
    async with starting as process, asyncio.TaskGroup() as tasks:
        polling = BackgroundWork('settings', reload.poll, Importance.AUXILIARY)
        reload_task = tasks.create_task(process.kernel.find(SUPERVISOR).run(polling))
        log.info('started', host=settings.host, callers=settings.callers)
        await stop_requested.wait()
        reload_task.cancel()
        log.info('stopping')
        drained = await process.leave()
        log.info('stopped', drained=drained)
    return drained


def run_edge(path: Path, settings: HostSettings) -> bool:
    """Run a host until SIGTERM or SIGINT, then shut it down gracefully.

    Args:
        path: the settings file, which is reloaded on SIGHUP and when it changes.
        settings: the current content of that file.

    Returns:
        Whether all work in flight was completed before the exit.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_serve(path, settings))


def _assemble(settings: HostSettings) -> Kernel:
    incarnation = Incarnation(secrets.token_hex(8))
    identity = Identity(settings.host, incarnation, settings.zone)
    counters = HostCounters()
    adapters = EdgeAdapters(
        counters=counters,
        store=HttpStore(settings.store, counters),
        codec=JsonStateCodec(),
        upstream_connector=HttpUpstreamConnector(),
        peer_transport=GrpcTransport(settings.host),
        timeline=HostTimeline(identity),
    )
    entry = HostEntry(name=settings.name, host=settings.host, zone=settings.zone)
    seed = random.SystemRandom().randrange(MAX_SEED)
    return assemble_edge(identity, entry, adapters, _make_rules(settings), seed)


def _make_rules(settings: HostSettings) -> EdgeRules:
    return EdgeRules(
        retry_budget=RetryBudgetRule(
            settings.retry_ratio,
            settings.retry_slack,
            starts_full=settings.is_first_start,
            window=settings.retry_window,
        ),
        slow_start=SlowStartRule(settings.cold_factor, settings.cold_slack),
        drain_time=settings.drain_time,
        seeds=settings.seeds,
        is_first_start=settings.is_first_start,
        regions=settings.regions,
    )


def _make_server(
    application: Application,
    address: str,
    find_limits: Callable[[], CallerLimits],
    linger: Seconds = LINGER,
) -> EmbeddedServer:
    host, _, port = address.rpartition(':')
    config = uvicorn.Config(
        application,
        host=host,
        port=int(port),
        http=make_bounded_protocol(find_limits),
        ws='none',
        interface='asgi3',
        log_config=None,
        access_log=False,
        lifespan='off',
        server_header=False,
        date_header=False,
        proxy_headers=False,
    )
    return EmbeddedServer(config, linger)
