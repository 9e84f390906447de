"""Membership of the fleet: host entries in the store, and heartbeats between hosts."""

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Self

import structlog

from ..contracts import (
    HEARTBEAT_RECEIVED,
    IDENTITY,
    LIFECYCLE,
    OBJECT_STORE,
    PEERS,
    RULES,
    RULES_CHANGED,
    SHARED_STATE,
    STATE_CODEC,
    STATE_REPLICATION,
    EdgeRules,
    Respond,
)
from ..decisions import choose_heartbeat_interval, choose_links, choose_silence_limit
from ..kernel import Kernel
from ..model import (
    NO_REVISION,
    EdgeHeartbeat,
    HostEntry,
    HostId,
    Message,
    PlatformConflict,
    PlatformError,
    RecordError,
    Seconds,
    StateKind,
    StoredObject,
    WorkError,
    ZoneId,
)
from ._tasks import TaskOwner, read_clock

HOST_KIND = 'hosts'
REGISTER_RETRY_DELAY = Seconds(0.5)  # between attempts while the store fails
# After this time without a heartbeat a host is taken to be gone: it is assumed to use
# no more connections or extra sends, and its part of the limits goes to the others.
GONE_AFTER = Seconds(30)
MAX_GONE_LISTED = 8  # hosts that a heartbeat lists as gone
# Other hosts that a heartbeat lists, from which a new host learns of the fleet.
MAX_OTHERS_LISTED = 8


@dataclass(slots=True)
class _Peer:
    """What this host has recorded about another host.

    Attributes:
        added: when this host learned of it, on the loop's clock.
        last_heard: when its last heartbeat arrived; None before the first one.
        is_leaving: whether it is shutting down.
        is_up: whether its heartbeats arrive; false once it is found silent.
        is_store_failing: whether its last call to the store failed.
    """

    zone: ZoneId
    added: float
    last_heard: float | None = None
    is_leaving: bool = False
    is_up: bool = False
    is_store_failing: bool = False


class HostFleet(TaskOwner):
    """Register this host, exchange heartbeats, and keep the live and known hosts.

    The store is needed only to register and to find other hosts at start. From then on
    hosts learn of each other from heartbeats, so the fleet works without the store.
    """

    def __init__(self, kernel: Kernel, entry: HostEntry) -> None:
        super().__init__()
        self._kernel = kernel
        self._identity = kernel.find(IDENTITY)
        self._store = kernel.find(OBJECT_STORE)
        self._codec = kernel.find(STATE_CODEC)
        self._peers = kernel.find(PEERS)
        self._state = kernel.find(SHARED_STATE)
        self._lifecycle = kernel.find(LIFECYCLE)
        self._entry = entry
        self._rules = kernel.find(RULES)
        self._others: dict[HostId, _Peer] = {}
        self._links: tuple[HostId, ...] | None = None
        self._gone: deque[HostId] = deque(maxlen=MAX_GONE_LISTED)
        self._log = structlog.get_logger()

    @property
    def known_host_count(self) -> int:
        """Number of known hosts, including this one."""
        return 1 + len(self._others)

    def known_hosts(self) -> tuple[HostId, ...]:
        """Return the known hosts, including this one."""
        return self._identity.host, *self._others

    def live_hosts(self) -> dict[HostId, ZoneId]:
        """Return the live hosts that are not shutting down, including this one."""
        now = read_clock()
        live = {self._identity.host: self._identity.zone}
        for host, peer in self._others.items():
            if self._is_live(peer, now) and not peer.is_leaving:
                live[host] = peer.zone
        return live

    def hosts_reaching_store(self) -> dict[HostId, ZoneId]:
        """Return the live hosts whose last calls to the store succeeded."""
        seeing = self.live_hosts()
        for host, peer in self._others.items():
            if peer.is_store_failing:
                seeing.pop(host, None)
        if self._kernel.find(STATE_REPLICATION).is_store_failing:
            del seeing[self._identity.host]
        return seeing

    @property
    def is_isolated(self) -> bool:
        """Whether other zones have known hosts, but none of those is live."""
        own, now = self._identity.zone, read_clock()
        distant = [peer for peer in self._others.values() if peer.zone != own]
        return bool(distant) and not any(self._is_live(each, now) for each in distant)

    def links(self) -> tuple[HostId, ...]:
        """Return the hosts that this host exchanges heartbeats with."""
        if self._links is None:
            known = {host: peer.zone for host, peer in self._others.items()}
            self._links = choose_links(self._identity.zone, known)
        return self._links

    def heartbeat_interval(self) -> Seconds:
        """Return the seconds between heartbeats to one host."""
        return choose_heartbeat_interval(len(self.links()))

    async def __aenter__(self) -> Self:
        self._peers.serve_inline(EdgeHeartbeat, self._answer_heartbeat)
        self._contact_seeds(self._rules.current)
        self._kernel.bus.subscribe(RULES_CHANGED, self._contact_seeds)
        self._tasks.spawn(self._register())
        self._tasks.spawn(self._send_heartbeats())
        return self

    def announce_leaving(self) -> None:
        """Announce to all hosts, in a heartbeat sent now, that this one shuts down."""
        for host in self.links():
            self._send_heartbeat(host)

    async def _send_heartbeats(self) -> None:
        while True:
            interval = self.heartbeat_interval()
            await asyncio.sleep(interval)
            now = read_clock()
            for host in self.links():
                last_heard = self._others[host].last_heard
                if last_heard is None or now - last_heard > interval / 2:
                    self._send_heartbeat(host)
            self._check_peers(now)

    def _contact_seeds(self, rules: EdgeRules) -> None:
        for seed in rules.seeds:
            self._send_heartbeat(seed)

    def _send_heartbeat(self, host: HostId) -> None:
        def note(reply: Message | WorkError) -> None:
            if isinstance(reply, EdgeHeartbeat):
                self._note_heartbeat(reply)

        if host != self._identity.host:
            self._peers.post(host, self._build_heartbeat(), note)

    def _build_heartbeat(self) -> EdgeHeartbeat:
        others = tuple(
            (host, peer.zone) for host, peer in self._others.items() if peer.is_up
        )
        return EdgeHeartbeat(
            host=self._identity.host,
            zone=self._identity.zone,
            revisions={kind: self._state.revision(kind) for kind in StateKind},
            store_age=self._kernel.find(STATE_REPLICATION).measure_age(),
            is_leaving=self._lifecycle.is_leaving,
            others=others[:MAX_OTHERS_LISTED],
            gone=tuple(self._gone),
            is_blind=self._kernel.find(STATE_REPLICATION).is_store_failing,
        )

    def _answer_heartbeat(
        self, heartbeat: EdgeHeartbeat, sender: HostId, respond: Respond
    ) -> None:
        respond(self._build_heartbeat())
        self._note_heartbeat(heartbeat)

    def _note_heartbeat(self, heartbeat: EdgeHeartbeat) -> None:
        peer = self._add_host(heartbeat.host, heartbeat.zone)
        if heartbeat.host in self._gone:
            self._gone.remove(heartbeat.host)
        if not peer.is_up:
            self._log.info('host heard', peer=heartbeat.host, zone=heartbeat.zone)
        peer.last_heard = read_clock()
        peer.is_up = True
        peer.is_leaving = heartbeat.is_leaving
        peer.is_store_failing = heartbeat.is_blind
        for host, zone in heartbeat.others:
            if host != self._identity.host and host not in self._gone:
                self._add_host(host, zone)
        for host in heartbeat.gone:
            self._drop_host(host)
        self._kernel.bus.publish(HEARTBEAT_RECEIVED, heartbeat)

    def _add_host(self, host: HostId, zone: ZoneId) -> _Peer:
        if host not in self._others:
            self._others[host] = _Peer(zone, read_clock())
            self._links = None
        return self._others[host]

    def _is_live(self, peer: _Peer, now: float) -> bool:
        if peer.last_heard is None:
            return False
        return now - peer.last_heard <= choose_silence_limit(self.heartbeat_interval())

    def _check_peers(self, now: float) -> None:
        """Find silent hosts, and remove linked hosts that are gone.

        A host without a link to this one exchanges no heartbeats with it. This host
        learns from the heartbeats of its peers when such a host is gone.
        """
        linked = set(self.links())
        for host, peer in tuple(self._others.items()):
            if peer.is_up and not self._is_live(peer, now):
                peer.is_up = False
                self._log.warning('host silent', peer=host, heard=peer.last_heard)
            if host in linked and self._is_gone(peer, now):
                self._drop_host(host)
                self._tasks.spawn(self._remove_entry(host))

    def _is_gone(self, peer: _Peer, now: float) -> bool:
        return now - (peer.last_heard or peer.added) > GONE_AFTER

    def _drop_host(self, host: HostId) -> None:
        """Remove a host that is gone and list it as gone in this host's heartbeats.

        A host whose heartbeats arrived here within GONE_AFTER is kept, even when a peer
        lists it as gone.
        """
        peer = self._others.get(host)
        if peer is None or (peer.last_heard and not self._is_gone(peer, read_clock())):
            return
        del self._others[host]
        self._links = None
        self._gone.append(host)
        self._log.warning('host gone', peer=host)

    async def _register(self) -> None:
        """Write this host's entry, then read the entries of the other hosts.

        In this order, of two hosts that start at the same time at least one finds the
        entry of the other.
        """
        while True:
            try:
                await self._write_entry()
                listing = await self._store.list_kind(HOST_KIND)
            except PlatformError as error:
                self._log.warning('host not registered', reason=str(error))
                await asyncio.sleep(REGISTER_RETRY_DELAY)
                continue
            for stored in listing.objects:
                self._add_entry(stored)
            return

    async def _write_entry(self) -> None:
        content = self._codec.encode_host(self._entry)
        stored = await self._store.read(HOST_KIND, self._entry.name)
        if stored is None or stored.content != content:
            revision = NO_REVISION if stored is None else stored.revision
            await self._store.write(HOST_KIND, self._entry.name, content, revision)

    def _add_entry(self, stored: StoredObject) -> None:
        try:
            entry = self._codec.decode_host(stored)
        except RecordError as error:
            self._log.warning(
                'host entry not readable', name=stored.name, reason=str(error)
            )
            return
        if entry.host != self._identity.host:
            self._add_host(entry.host, entry.zone)
            self._send_heartbeat(entry.host)

    async def _remove_entry(self, host: HostId) -> None:
        """Delete the store entry of a host that is gone.

        A host that starts again writes a new entry.
        """
        try:
            listing = await self._store.list_kind(HOST_KIND)
            for stored in listing.objects:
                if self._codec.decode_host(stored).host == host:
                    await self._store.delete(HOST_KIND, stored.name, stored.revision)
        except PlatformConflict:
            return  # another host deleted it first, or the host registered again
        except (PlatformError, RecordError) as error:
            self._log.warning('host entry not removed', peer=host, reason=str(error))
