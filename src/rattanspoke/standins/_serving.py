"""An HTTP server on the loopback interface, for stand-ins."""

import asyncio
from types import TracebackType
from typing import Any, Self

import msgspec
from aiohttp import web


class HttpServer:
    """An HTTP server that listens at `host:port` while it is entered."""

    def __init__(self, address: str, routes: list[web.RouteDef]) -> None:
        self._host, _, port = address.rpartition(':')
        self._port = int(port)
        self._app = web.Application()
        self._app.add_routes(routes)
        self._runner = web.AppRunner(self._app, access_log=None)

    async def __aenter__(self) -> Self:
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self._port).start()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._runner.cleanup()


def abort(request: web.Request) -> web.Response:
    """Close the connection without a response, as a crashed process does."""
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError


def reply(form: Any, status: int = 200) -> web.Response:
    """Return an HTTP response with a JSON body."""
    return web.Response(
        body=msgspec.json.encode(form), status=status, content_type='application/json'
    )
