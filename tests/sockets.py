"""Servers and clients on the loopback interface that leave no open connection."""

import asyncio
from contextlib import asynccontextmanager, suppress

import uvicorn

from rattanspoke._listening import EmbeddedServer, make_bounded_protocol


@asynccontextmanager
async def serving(handle):
    """Yield the address of a server that handles each connection with a coroutine.

    Args:
        handle: is called with the reader and the writer of a connection.
    """
    tasks = set()

    async def run(reader, writer):
        tasks.add(asyncio.current_task())
        try:
            await handle(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            await end(writer)

    server = await asyncio.start_server(run, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f'{host}:{port}'
    finally:
        server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def end(writer):
    """Abort a connection and wait until its socket is closed."""
    writer.transport.abort()
    with suppress(ConnectionError):
        await writer.wait_closed()


@asynccontextmanager
async def listening(application, limits):
    """Yield the host and port of a server of an ASGI application.

    Args:
        limits: what a caller may send, and how long it may take.
    """
    config = uvicorn.Config(
        application,
        host='127.0.0.1',
        port=0,
        http=make_bounded_protocol(lambda: limits),
        interface='asgi3',
        lifespan='off',
        log_config=None,
    )
    async with EmbeddedServer(config) as server:
        while not server.started:
            await asyncio.sleep(0.01)
        yield server.servers[0].sockets[0].getsockname()
