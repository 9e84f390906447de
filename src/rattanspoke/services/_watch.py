"""Replication of configuration: few hosts watch the platform, the others their peers.

In each zone the first WATCHERS_PER_ZONE hosts in rendezvous order watch the platform
by long poll and push changes to the other hosts of the zone. Every host also pulls
changes from a peer whose watermark is ahead of its own, and pushes on what it pulled
from another zone. The other hosts watch the platform only while no heartbeat shows
them a watcher in their zone.
"""

import asyncio
import random
from typing import NoReturn, Self

from ..contracts import (
    CATALOG,
    COUNTERS,
    IDENTITY,
    MEMBERS,
    PEERS,
    PLATFORM,
    Metric,
)
from ..decisions import rank_hosts
from ..kernel import Kernel
from ..model import (
    NO_REVISION,
    Acknowledgement,
    HostId,
    HostState,
    Message,
    PeerError,
    PlatformError,
    RecordHistoryGone,
    RecordsPull,
    RecordsPush,
    Revision,
    Seconds,
    StoredObject,
)
from ._tasks import TaskOwner, ignore_reply, read_clock

WATCHERS_PER_ZONE = 2
LONG_POLL_WAIT = Seconds(2)  # for which the platform may keep a long poll open
IDLE_WAIT = Seconds(0.5)  # between checks whether this host should watch
WATCHER_SILENCE = Seconds(3)  # since a watcher's heartbeat; then the zone has none
MIN_BACKOFF = Seconds(0.2)
MAX_BACKOFF = Seconds(5)
PULL_BUDGET = Seconds(2)
LONG_AGO = Seconds(1e9)


class HostWatch(TaskOwner):
    """Update the catalog from the platform and from peers."""

    def __init__(self, kernel: Kernel, seed: int) -> None:
        super().__init__(kernel)
        self._kernel = kernel
        self._identity = kernel.find(IDENTITY)
        self._counters = kernel.find(COUNTERS)
        self._catalog = kernel.find(CATALOG)
        self._peers = kernel.find(PEERS)
        self._platform = kernel.find(PLATFORM)
        self._random = random.Random(seed)
        self._is_watching = False
        self._backoff = MIN_BACKOFF
        self._platform_heard_at: Seconds | None = None
        self._peer_heard_platform_at: Seconds | None = None
        self._watcher_heard_at: Seconds | None = None
        self._pulling = False

    @property
    def holds_watch(self) -> bool:
        """Whether this host is a watcher: it keeps a long poll open on the platform."""
        return self._is_watching

    def measure_age(self) -> Seconds:
        """Return the seconds since this host or a peer of it reached the platform."""
        heard = [
            time
            for time in (self._platform_heard_at, self._peer_heard_platform_at)
            if time is not None
        ]
        return Seconds(read_clock() - max(heard)) if heard else LONG_AGO

    def measure_platform_silence(self) -> Seconds:
        """Return the seconds since this host itself reached the platform."""
        if self._platform_heard_at is None:
            return LONG_AGO
        return Seconds(read_clock() - self._platform_heard_at)

    def note_peer(
        self, host: HostId, watermark: Revision, *, holds_watch: bool, age: Seconds
    ) -> None:
        """Note a peer's replication state and pull changes that are missing here."""
        now = read_clock()
        if age < LONG_AGO:
            heard = Seconds(now - age)
            self._peer_heard_platform_at = max(
                self._peer_heard_platform_at or heard, heard
            )
        members = self._kernel.find(MEMBERS)
        if holds_watch and host in members.select(HostState.LIVE, self._identity.zone):
            self._watcher_heard_at = Seconds(now)
        if watermark > self._catalog.watermark and not self._pulling:
            self._pulling = True
            self._tasks.spawn(self._pull(host))

    async def __aenter__(self) -> Self:
        self._peers.serve(RecordsPull, self._answer_pull)
        self._peers.serve(RecordsPush, self._apply_push)
        self._supervise('record watch', self._watch_platform)
        return self

    async def _watch_platform(self) -> NoReturn:
        while True:
            self._is_watching = self._should_watch()
            if not self._is_watching:
                await asyncio.sleep(IDLE_WAIT)
                continue
            try:
                await self._watch_once()
            except PlatformError:
                self._counters.add(Metric.PLATFORM_FAILURES, 'watch')
                await self._back_off()
            else:
                self._backoff = MIN_BACKOFF

    async def _watch_once(self) -> None:
        known = self._catalog.watermark
        if known == NO_REVISION:
            listing = await self._platform.list_objects()
            self._catalog.adopt_list(listing.revision, listing.objects)
            self._platform_heard_at = Seconds(read_clock())
            return
        try:
            changes = await self._platform.watch(known, LONG_POLL_WAIT)
        except RecordHistoryGone:
            listing = await self._platform.list_objects()
            self._catalog.adopt_list(listing.revision, listing.objects)
            return
        self._platform_heard_at = Seconds(read_clock())
        if changes.revision > known:
            self._catalog.adopt_range(known, changes.revision, changes.objects)
            self._push(known, changes.revision, changes.objects)

    async def _back_off(self) -> None:
        await asyncio.sleep(self._backoff * self._random.uniform(0.5, 1))
        self._backoff = Seconds(min(MAX_BACKOFF, self._backoff * 2))

    def _should_watch(self) -> bool:
        members = self._kernel.find(MEMBERS)
        live = members.select(HostState.LIVE, self._identity.zone)
        ranked = rank_hosts(f'watch {self._identity.zone}', live)
        if self._identity.host in ranked[:WATCHERS_PER_ZONE]:
            return True
        heard = self._watcher_heard_at
        return heard is None or read_clock() - heard > WATCHER_SILENCE

    def _push(
        self, after: Revision, until: Revision, objects: tuple[StoredObject, ...]
    ) -> None:
        members = self._kernel.find(MEMBERS)
        for host in members.select(HostState.LIVE, self._identity.zone):
            if host != self._identity.host:
                self._peers.post(host, RecordsPush(after, until, objects), ignore_reply)

    async def _pull(self, host: HostId) -> None:
        after = self._catalog.watermark
        try:
            reply = await self._peers.call(host, RecordsPull(after), PULL_BUDGET)
        except PeerError:
            return
        finally:
            self._pulling = False
        if isinstance(reply, RecordsPush):
            is_new = reply.until > self._catalog.watermark
            self._catalog.adopt_range(reply.after, reply.until, reply.objects)
            if is_new and host not in self._select_zone_hosts():
                self._push(reply.after, reply.until, reply.objects)

    def _select_zone_hosts(self) -> frozenset[HostId]:
        members = self._kernel.find(MEMBERS)
        return members.select(HostState.LIVE, self._identity.zone)

    async def _answer_pull(self, pull: RecordsPull, sender: HostId) -> Message:
        until = self._catalog.watermark
        return RecordsPush(pull.after, until, self._catalog.select_after(pull.after))

    async def _apply_push(self, push: RecordsPush, sender: HostId) -> Message:
        gap = self._catalog.adopt_range(push.after, push.until, push.objects)
        if gap and not self._pulling:
            self._pulling = True
            self._tasks.spawn(self._pull(sender))
        return Acknowledgement(self._identity.incarnation)
