"""Membership of the fleet: heartbeats between hosts, and rosters of those heard."""

import asyncio
from collections.abc import Mapping
from typing import NoReturn, Self

import structlog

from ..contracts import (
    HEARTBEAT_RECEIVED,
    IDENTITY,
    LIFECYCLE,
    PEERS,
    RULES,
    RULES_CHANGED,
    SHARED_STATE,
    STATE_REPLICATION,
    EdgeRules,
    Respond,
)
from ..decisions import FleetView
from ..kernel import Kernel
from ..model import (
    EdgeHeartbeat,
    FleetRoster,
    HostId,
    Message,
    PeerError,
    RosterPull,
    Seconds,
    StateKind,
    WorkError,
    ZoneId,
)
from ._tasks import TaskOwner, read_clock

ANSWER_TIMEOUT = Seconds(1)  # of a peer that is asked for hosts
ROSTER_INTERVAL = Seconds(1)  # at least, between two pulls of rosters from one host


class HostFleet(TaskOwner):
    """Exchange heartbeats, and keep the live and known hosts.

    The store is needed only to find other hosts at start. From then on hosts learn of
    each other from heartbeats, so the fleet works without the store.
    """

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._kernel = kernel
        self._identity = kernel.find(IDENTITY)
        self._peers = kernel.find(PEERS)
        self._state = kernel.find(SHARED_STATE)
        self._lifecycle = kernel.find(LIFECYCLE)
        self._rules = kernel.find(RULES)
        self._view = FleetView(self._identity.host, self._identity.zone)
        # Whether the other hosts were found. Before that, this host would take itself
        # for a relay and contact every host that it hears of.
        self._is_settled = False
        self._pulled_at: dict[HostId, float] = {}
        self._log = structlog.get_logger()

    @property
    def known_host_count(self) -> int:
        """Number of known hosts, including this one."""
        return len(self._view.known)

    def known_hosts(self) -> Mapping[HostId, ZoneId]:
        """Return the known hosts with their zones, including this one."""
        return self._view.known

    def live_hosts(self) -> dict[HostId, ZoneId]:
        """Return the live hosts that this host hears and that are not shutting down.

        They include this host. A host that is no relay hears only relays of its zone.
        """
        return self._view.live(_now())

    def neighbours(self) -> tuple[HostId, ...]:
        """Return the hosts that this host exchanges heartbeats with."""
        live = self._view.live(_now())
        return tuple(host for host in live if host != self._identity.host)

    def followers(self) -> tuple[HostId, ...]:
        """Return the live hosts that want the state updates of this host."""
        return self._view.list_followers(_now())

    @property
    def is_isolated(self) -> bool:
        """Whether other zones have known hosts, but none of those is live."""
        return self._view.is_isolated(_now())

    @property
    def is_watcher(self) -> bool:
        """Whether this host is to watch the store for the others."""
        return self._view.is_relay and self._identity.host in self._view.watchers

    def heartbeat_interval(self) -> Seconds:
        """Return the seconds between heartbeats to one host."""
        return self._view.interval

    async def __aenter__(self) -> Self:
        self._peers.serve_inline(EdgeHeartbeat, self._answer_heartbeat)
        self._peers.serve_inline(RosterPull, self._answer_roster_pull)
        self._contact_seeds(self._rules.current)
        self._kernel.bus.subscribe(RULES_CHANGED, self._contact_seeds)
        self._supervise('heartbeats', self._send_heartbeats)
        return self

    def announce_leaving(self) -> None:
        """Announce to all hosts, in a heartbeat sent now, that this one shuts down."""
        for host in self.neighbours():
            self._send_heartbeat(host)

    def add_hosts(self, hosts: Mapping[HostId, ZoneId]) -> None:
        """Add hosts that were found in the store or listed by another host."""
        for host, zone in hosts.items():
            self._view.add(host, zone, _now())
        self._is_settled = True
        self._refresh()

    def contact(self, host: HostId) -> None:
        """Send a heartbeat to a host, which becomes known if it answers."""
        self._send_heartbeat(host)

    async def ask_for_hosts(self) -> bool:
        """Learn of all hosts from a seed; return whether one answered."""
        for seed in self._rules.current.seeds:
            if self._was_heard(seed, _now(), ANSWER_TIMEOUT) and (
                await self._pull_hosts(seed)
            ):
                return True
        return False

    async def _send_heartbeats(self) -> NoReturn:
        while True:
            interval = self._view.interval
            await asyncio.sleep(interval)
            now = _now()
            for host in self._view.mark_silent(now):
                self._log.warning('host silent', peer=host)
            self._refresh()
            links = self._view.links if self._is_settled else self._rules.current.seeds
            for host in links:
                if not self._was_heard(host, now, Seconds(interval / 2)):
                    self._send_heartbeat(host)

    def _was_heard(self, host: HostId, now: Seconds, within: Seconds) -> bool:
        peer = self._view.peers.get(host)
        if peer is None or peer.last_heard is None:
            return False
        return now - peer.last_heard <= within

    def _refresh(self) -> None:
        """Choose links anew, and send a heartbeat to each new one at once."""
        if not self._is_settled:
            return
        former = self._view.links
        replication = self._kernel.find(STATE_REPLICATION)
        gone = self._view.refresh(_now(), is_store_failing=replication.is_store_failing)
        for host in gone:
            self._log.warning('host gone', peer=host)
        for host in self._view.links:
            if host not in former:
                self._send_heartbeat(host)

    def _contact_seeds(self, rules: EdgeRules) -> None:
        for seed in rules.seeds:
            self._send_heartbeat(seed)

    def _send_heartbeat(self, host: HostId) -> None:
        def note(reply: Message | WorkError) -> None:
            if isinstance(reply, EdgeHeartbeat):
                self._note_heartbeat(reply)

        if host != self._identity.host:
            self._view.note_asked(host, _now())
            self._peers.post(host, self._build_heartbeat(host), note)

    def _build_heartbeat(self, receiver: HostId) -> EdgeHeartbeat:
        replication = self._kernel.find(STATE_REPLICATION)
        return EdgeHeartbeat(
            host=self._identity.host,
            zone=self._identity.zone,
            revisions={kind: self._state.revision(kind) for kind in StateKind},
            store_age=replication.measure_age(),
            is_leaving=self._lifecycle.is_leaving,
            is_blind=replication.is_store_failing,
            is_follower=receiver in self._view.sources,
            hears_other_zones=self._view.hears_other_zones(_now()),
            roster=self._view.digest_for(receiver),
        )

    def _answer_heartbeat(
        self, heartbeat: EdgeHeartbeat, sender: HostId, respond: Respond
    ) -> None:
        self._note_heartbeat(heartbeat)
        respond(self._build_heartbeat(sender))

    def _note_heartbeat(self, heartbeat: EdgeHeartbeat) -> None:
        now = _now()
        if self._view.note_heartbeat(heartbeat, now):
            self._log.info('host heard', peer=heartbeat.host, zone=heartbeat.zone)
            self._refresh()
        self._pull_roster_if_changed(heartbeat)
        self._kernel.bus.publish(HEARTBEAT_RECEIVED, heartbeat)

    def _pull_roster_if_changed(self, heartbeat: EdgeHeartbeat) -> None:
        host, now = heartbeat.host, read_clock()
        is_current = self._view.peers[host].roster_digest == heartbeat.roster
        if is_current or now - self._pulled_at.get(host, 0) < ROSTER_INTERVAL:
            return
        self._pulled_at[host] = now
        self._tasks.spawn(self._pull_roster(host))

    async def _pull_roster(self, host: HostId) -> None:
        try:
            reply = await self._peers.call(host, RosterPull(), ANSWER_TIMEOUT)
        except PeerError as error:
            self._log.info('roster not pulled', peer=host, reason=str(error))
            return
        if isinstance(reply, FleetRoster):
            self._view.note_roster(host, reply.zones)
            self._refresh()

    def _answer_roster_pull(
        self, pull: RosterPull, sender: HostId, respond: Respond
    ) -> None:
        if not pull.is_whole:
            respond(FleetRoster(dict(self._view.choose_roster(sender))))
            return
        zones: dict[ZoneId, tuple[HostId, ...]] = {}
        for host, zone in self._view.known.items():
            zones[zone] = (*zones.get(zone, ()), host)
        respond(FleetRoster(zones))

    async def _pull_hosts(self, seed: HostId) -> bool:
        pull = RosterPull(is_whole=True)
        try:
            reply = await self._peers.call(seed, pull, ANSWER_TIMEOUT)
        except PeerError as error:
            self._log.info('hosts not learned', peer=seed, reason=str(error))
            return False
        if isinstance(reply, FleetRoster):
            zones = reply.zones.items()
            self.add_hosts({host: zone for zone, hosts in zones for host in hosts})
        return isinstance(reply, FleetRoster)


def _now() -> Seconds:
    return Seconds(read_clock())
