"""Compare the processor time per upstream call of two HTTP clients.

Run: python -m tools.measure_clients. The server runs in its own thread, and only the
processor time of the calling thread is measured. The figures depend on the machine, so
compare them only with each other.
"""

import asyncio
import threading
import time

import aiohttp
import httpx
import msgspec
from aiohttp import web

ADDRESS = ('127.0.0.1', 9471)
URL = f'http://{ADDRESS[0]}:{ADDRESS[1]}/v1/search'
CALLS = 1500
BODY = msgspec.json.encode({'call': 'c', 'parts': [{'query': 'glass', 'limit': 10}]})
REPLY = msgspec.json.encode(
    {'hits': [[f'jobs-{number:06d}', 0.5, 'text'] for number in range(10)]}
)


def run_server(ready: threading.Event) -> None:
    """Answer every call with the same small reply, and set ready once it listens."""

    async def answer(request):
        await request.read()
        return web.Response(body=REPLY)

    async def serve():
        app = web.Application()
        app.add_routes([web.post('/v1/search', answer)])
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, *ADDRESS).start()
        ready.set()
        await asyncio.Event().wait()

    asyncio.run(serve())


async def measure(call, in_flight: int) -> float:
    """Return the mean processor time of one call in microseconds.

    Args:
        call: makes one call.
        in_flight: the number of calls that run concurrently.
    """
    call_counts = [CALLS // in_flight] * in_flight

    async def run_calls(count):
        for _ in range(count):
            await call()

    await run_calls(50)
    started_at = time.thread_time()
    await asyncio.gather(*(run_calls(count) for count in call_counts))
    return (time.thread_time() - started_at) / sum(call_counts) * 1e6


async def compare() -> None:
    """Print a row with both clients for each number of calls in flight."""
    for in_flight in (1, 4, 16):
        async with httpx.AsyncClient() as client:

            async def call_httpx(client=client):
                response = await client.post(URL, content=BODY)
                return response.content

            first = await measure(call_httpx, in_flight)
        async with aiohttp.ClientSession() as session:

            async def call_aiohttp(session=session):
                async with session.post(URL, data=BODY) as response:
                    return await response.read()

            second = await measure(call_aiohttp, in_flight)
        print(
            f'in flight {in_flight:>2}: httpx {first:6.0f} us, '
            f'aiohttp {second:6.0f} us, ratio {first / second:.1f}'
        )


if __name__ == '__main__':
    is_ready = threading.Event()
    threading.Thread(target=run_server, args=(is_ready,), daemon=True).start()
    is_ready.wait()
    asyncio.run(compare())
