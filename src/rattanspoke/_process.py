"""Run a host: listeners, signals and graceful shutdown."""

import asyncio
import random
import secrets
import signal
from types import TracebackType
from typing import Self

import structlog
import uvicorn

from ._host import HostAdapters, assemble_host
from ._listening import DEFAULT_LIMITS, EmbeddedServer, make_bounded_protocol
from ._settings import Settings
from .contracts import LIFECYCLE, MEMBERS, SEATS, Identity
from .kernel import Kernel
from .model import Incarnation
from .peering import GrpcTransport
from .platform import HttpStore
from .services import HostCounters, HostTimeline
from .transports import (
    HttpRecordStore,
    HttpUpstreamClient,
    RecordCodec,
    make_http_app,
)

MAX_SEED = 2**32


class HostProcess:
    """A host that serves peers and callers from entry to exit."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        identity = Identity(
            settings.host, Incarnation(secrets.token_hex(8)), settings.zone
        )
        counters = HostCounters()
        self._transport = GrpcTransport(settings.host)
        self._platform = HttpRecordStore(HttpStore(settings.platform, counters))
        adapters = HostAdapters(
            codec=RecordCodec(),
            counters=counters,
            timeline=HostTimeline(identity),
            platform=self._platform,
            peer_transport=self._transport,
            upstream_client=HttpUpstreamClient(),
        )
        seed = settings.seed or random.SystemRandom().randrange(MAX_SEED)
        self.kernel: Kernel = assemble_host(identity, adapters, seed)
        self._server = _make_server(self.kernel, settings)

    async def __aenter__(self) -> Self:
        await self.kernel.__aenter__()
        await self._server.__aenter__()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._server.__aexit__(exc_type, exc, trace)
        await self.kernel.__aexit__(exc_type, exc, trace)

    async def leave(self) -> bool:
        """Shut down gracefully.

        The host reports that it is leaving and releases its seats (concurrency permits
        of upstreams), so that other hosts take them over. It accepts requests until the
        load balancer has had time to take it out of rotation, then rejects new ones and
        completes the work in flight.

        Returns:
            Whether all work ended within the drain limit.
        """
        lifecycle = self.kernel.find(LIFECYCLE)
        lifecycle.leave()
        self.kernel.find(MEMBERS).announce_leaving()
        await self.kernel.find(SEATS).release_all()
        await asyncio.sleep(self._settings.leave_wait)
        lifecycle.close()
        return await lifecycle.drain()


async def run_host(settings: Settings) -> bool:
    """Run a host until SIGTERM or SIGINT, then shut it down gracefully.

    Returns:
        Whether all work in flight was completed before the exit.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    log = structlog.get_logger(host=settings.host, zone=settings.zone)
    async with HostProcess(settings) as process:
        log.info('serving', listen=settings.listen)
        await stop_requested.wait()
        log.info('leaving')
        drained = await process.leave()
        log.info('left', drained=drained)
    return drained


def _make_server(kernel: Kernel, settings: Settings) -> EmbeddedServer:
    host, _, port = settings.listen.rpartition(':')
    config = uvicorn.Config(
        make_http_app(kernel, settings.max_body),
        host=host,
        port=int(port),
        log_config=None,
        access_log=False,
        lifespan='off',
        http=make_bounded_protocol(lambda: DEFAULT_LIMITS),
    )
    return EmbeddedServer(config)
