"""An entry that is there for 2 s, and then a planned release of a service."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common'))
import standins as kit

CALLERS = 12
RATE = 4.0
DRAIN_S = 3.0  # bounds.drainMs
LONGER_S = 4.0  # for which a draining server serves on: "at times many seconds"
ENTRY_S = 2.0
IN_TOUCH_S = 4.0  # bounds.stabilityWindowMs
AFTER_S = 8.0
LEVELS = 2000  # of lists within lists


async def send(deployment, number, asked, stop):
    host = deployment.hosts[number % len(deployment.hosts)]
    caller = kit.Caller(deployment.record, host.front)
    await asyncio.sleep(random.random() / RATE)
    while not stop.is_set():
        attempt = kit.new_attempt()
        sent = time.monotonic()
        target = f'/goka902/{attempt}'
        answer = await caller.ask('GET', target, 'leno12.example', attempt, 3000)
        asked.append((sent, answer.status == 200))
        await asyncio.sleep(random.uniform(0.5, 1.5) / RATE)
    caller.close()


async def release(deployment, old, fresh, drained):
    """Replace a server: the new one starts, the old one drains and leaves."""
    await deployment.add_server(fresh)
    await asyncio.sleep(0.5)
    old.state = 'draining'
    deployment.store.put('servers', old.name, old.entry())
    drained[old.name] = time.monotonic()
    await asyncio.sleep(DRAIN_S + LONGER_S)
    deployment.store.remove('servers', old.name)
    await old.stop()


async def play(folder):
    sys.setrecursionlimit(LEVELS * 10)  # for this store, which writes JSON
    async with kit.Deployment(folder) as deployment:
        record = deployment.record
        route = kit.make_route('r-1', '/goka902/', 'kafi81c')
        config = kit.make_config(7, [route], ['kafi81c'])
        deployment.store.put('config', 'main', config)
        old = []
        for number in range(6):
            server = kit.Server(record, f'i-{number}', 'kafi81c', kit.ZONES[number % 3])
            await deployment.add_server(server)
            old.append(server)
        await deployment.start_hosts()
        await asyncio.sleep(3)
        asked, stop, drained = [], asyncio.Event(), {}
        callers = [
            asyncio.create_task(send(deployment, number, asked, stop))
            for number in range(CALLERS)
        ]
        if kit.TROUBLE:
            nested = []
            for _ in range(LEVELS):
                nested = [nested]
            entry = {'service': nested, 'address': 17, 'state': 'ready'}
            deployment.store.put('servers', 'i-of-another-writer', entry)
            await asyncio.sleep(ENTRY_S)
            deployment.store.remove('servers', 'i-of-another-writer')
        await asyncio.sleep(IN_TOUCH_S)
        releases = []
        for server in old:
            fresh = kit.Server(record, f'{server.name}-v2', 'kafi81c', server.zone)
            releases.append(
                asyncio.create_task(release(deployment, server, fresh, drained))
            )
            await asyncio.sleep(1)
        await asyncio.gather(*releases)
        gone = time.monotonic()
        await asyncio.sleep(AFTER_S)
        stop.set()
        await asyncio.gather(*callers)
        late = sum(
            at > drained[server.name] + DRAIN_S
            for server in old
            for at, _ in server.runs
        )
        results = [served for sent, served in asked if sent > gone]
        record.say(
            f'requests at servers later than {DRAIN_S} s after they were confirmed as',
            f'draining: {late}; served after the release: {sum(results)} of {len(results)}',
        )
        if not any(served for _, served in asked):
            raise kit.CannotRun('nothing was served')
        return kit.BROKEN if late else kit.HELD


kit.run_case(play, Path(__file__).resolve().parent)
