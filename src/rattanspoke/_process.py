"""One host as a process: sockets, signals, and a shutdown that cuts nothing."""

import asyncio
import random
import secrets
import signal
from types import TracebackType
from typing import Self

import structlog
import uvicorn

from ._host import Ports, assemble_host
from ._listening import QuietServer
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
KEEP_ALIVE = 30  # seconds that a caller's idle connection stays open


class HostProcess:
    """A host that listens for peers and callers from entry to exit."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        identity = Identity(
            settings.host, Incarnation(secrets.token_hex(8)), settings.zone
        )
        counters = HostCounters()
        self._transport = GrpcTransport(settings.host)
        self._platform = HttpRecordStore(HttpStore(settings.platform, counters))
        ports = Ports(
            codec=RecordCodec(),
            counters=counters,
            timeline=HostTimeline(identity),
            platform=self._platform,
            peer_transport=self._transport,
            upstream_client=HttpUpstreamClient(),
        )
        seed = settings.seed or random.SystemRandom().randrange(MAX_SEED)
        self.kernel: Kernel = assemble_host(identity, ports, seed)
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
        """Hand the seats over, wait for the balancer, end what was taken.

        Returns:
            Whether all work ended within the limit.
        """
        lifecycle = self.kernel.find(LIFECYCLE)
        lifecycle.leave()
        self.kernel.find(MEMBERS).announce_leaving()
        await self.kernel.find(SEATS).release_all()
        await asyncio.sleep(self._settings.leave_wait)
        lifecycle.close()
        return await lifecycle.drain()


async def run_host(settings: Settings) -> bool:
    """Serve until SIGTERM or SIGINT; tell whether the shutdown cut nothing."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    log = structlog.get_logger(host=settings.host, zone=settings.zone)
    async with HostProcess(settings) as process:
        log.info('serving', listen=settings.listen)
        await stopped.wait()
        log.info('leaving')
        drained = await process.leave()
        log.info('left', drained=drained)
    return drained


def _make_server(kernel: Kernel, settings: Settings) -> QuietServer:
    host, _, port = settings.listen.rpartition(':')
    config = uvicorn.Config(
        make_http_app(kernel, settings.max_body),
        host=host,
        port=int(port),
        log_config=None,
        access_log=False,
        lifespan='off',
        timeout_keep_alive=KEEP_ALIVE,
    )
    return QuietServer(config)
