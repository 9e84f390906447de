"""One host's view of the fleet: which hosts exist, which are live, and which relay.

Load pattern: of hundreds of hosts, each hears only the relays of its zone, yet every
host divides the limits on connections, extra sends and cold upstreams by the number of
all hosts. A host that counts too few breaks those limits. Therefore each relay keeps a
roster of the hosts that it hears itself. The relays of other zones copy what it lists
of its own zone and pass the copy on to the hosts of theirs, and no further, so that
hosts that are gone do not live on in rosters that confirm each other. A host counts
until no relay has heard it for GONE_AFTER.

When all hosts start at once, each finds only some of the others, and several hosts of a
zone that do not know each other take themselves for its relays. All of them contact
relays of other zones, and find each other in the rosters of those.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

import xxhash

from ..model import EdgeHeartbeat, HostId, Seconds, ZoneId
from ._topology import (
    choose_heartbeat_interval,
    choose_links,
    choose_relays,
    choose_silence_limit,
    choose_sources,
    choose_watchers,
)

# After this time without a heartbeat a host is taken to be gone: it is assumed to use
# no more connections or extra sends, and its part of the limits goes to the others.
GONE_AFTER = Seconds(30)
# Time after which a silent host may be a relay again, if it has the rank of one.
SILENT_RETRY = Seconds(10)

Roster = Mapping[ZoneId, tuple[HostId, ...]]


@dataclass(slots=True)
class PeerView:
    """What a host knows about another one that it has exchanged heartbeats with.

    Attributes:
        zone: the availability zone of the peer.
        added: when this host learned of it.
        is_listed: whether it was found in the store or in a list of all hosts, so that
            it counts although it was not heard yet.
        last_heard: when its last heartbeat arrived; None before the first one.
        asked_since: when the first heartbeat was sent to it that it has not answered.
        is_up: whether its heartbeats arrive; false once it is found silent.
        is_leaving: whether it is shutting down.
        is_store_failing: whether its last call to the store failed.
        is_follower: whether it wants the state updates of this host.
        hears_other_zones: whether it hears hosts of other zones itself.
        roster: the hosts that it listed, by zone.
        roster_digest: the digest of that roster.
    """

    zone: ZoneId
    added: Seconds
    is_listed: bool = False
    last_heard: Seconds | None = None
    asked_since: Seconds | None = None
    is_up: bool = False
    is_leaving: bool = False
    is_store_failing: bool = False
    is_follower: bool = False
    hears_other_zones: bool = False
    roster: Roster = field(default_factory=dict)
    roster_digest: int = 0


@dataclass(slots=True)
class FleetView:
    """The hosts that one host knows.

    Attributes:
        host: the host whose view it is.
        zone: the availability zone of that host.
        links: the hosts that it sends heartbeats to.
        sources: the hosts whose state updates it wants.
        watchers: the hosts that it takes to watch the store.
        is_relay: whether it is a relay of its zone.
        peers: what it knows of each host that it did not only copy from a roster.
        heard_roster: the hosts that it hears, for hosts of other zones.
        fleet_roster: these, and what it copied from the relays of the other zones, for
            the hosts of its zone.
    """

    host: HostId
    zone: ZoneId
    links: tuple[HostId, ...] = ()
    sources: tuple[HostId, ...] = ()
    watchers: tuple[HostId, ...] = ()
    is_relay: bool = True
    peers: dict[HostId, PeerView] = field(default_factory=dict)
    heard_roster: Roster = field(default_factory=dict)
    fleet_roster: Roster = field(default_factory=dict)
    _known: dict[HostId, ZoneId] = field(default_factory=dict)
    _zone_hosts: int = 1
    _heard_digest: int = 0
    _fleet_digest: int = 0

    def __post_init__(self) -> None:
        self._known = {self.host: self.zone}

    @property
    def known(self) -> Mapping[HostId, ZoneId]:
        """The hosts that may be in use, this one included, with their zones."""
        return self._known

    @property
    def interval(self) -> Seconds:
        """Seconds between heartbeats to one host."""
        return choose_heartbeat_interval(len(self.links), self._zone_hosts)

    def add(self, host: HostId, zone: ZoneId, now: Seconds) -> None:
        """Add a host that was found in the store or in a list of all hosts."""
        if host != self.host and host not in self.peers:
            self.peers[host] = PeerView(zone, now, is_listed=True)

    def note_asked(self, host: HostId, now: Seconds) -> None:
        """Record that a heartbeat is sent to a known host."""
        if host not in self._known:
            return
        peer = self.peers.setdefault(host, PeerView(self._known[host], now))
        if peer.asked_since is None:
            peer.asked_since = now

    def note_heartbeat(self, heartbeat: EdgeHeartbeat, now: Seconds) -> bool:
        """Record a heartbeat; return whether its sender was not up before."""
        peer = self.peers.setdefault(heartbeat.host, PeerView(heartbeat.zone, now))
        was_up = peer.is_up
        peer.zone = heartbeat.zone
        peer.last_heard = now
        peer.asked_since = None
        peer.is_up = True
        peer.is_leaving = heartbeat.is_leaving
        peer.is_store_failing = heartbeat.is_blind
        peer.is_follower = heartbeat.is_follower
        peer.hears_other_zones = heartbeat.hears_other_zones
        return not was_up

    def note_roster(self, host: HostId, roster: Roster) -> None:
        """Replace the roster of a host."""
        peer = self.peers.get(host)
        if peer is not None:
            peer.roster, peer.roster_digest = roster, digest_roster(roster)

    def refresh(self, now: Seconds, *, is_store_failing: bool) -> tuple[HostId, ...]:
        """Choose relays, links and sources anew from what was heard.

        Args:
            now: the time.
            is_store_failing: whether this host's own last call to the store failed.

        Returns:
            The hosts that were known and are gone.
        """
        former = self._known
        self._forget_silent(now)
        self._known = self._collect_known()
        self._zone_hosts = sum(zone == self.zone for zone in self._known.values())
        relays = choose_relays(self._select_candidates(now))
        self.is_relay = self.host in relays[self.zone]
        self.links = choose_links(self.host, self.zone, relays)
        reaching = self.reaching_store(now, is_store_failing=is_store_failing)
        self.watchers = choose_watchers(reaching)
        self.sources = choose_sources(self.host, self.zone, relays, self.watchers)
        self.heard_roster = self._list_heard()
        self.fleet_roster = {**self.heard_roster, **self._copy_far_rosters()}
        self._heard_digest = digest_roster(self.heard_roster)
        self._fleet_digest = digest_roster(self.fleet_roster)
        return tuple(host for host in former if host not in self._known)

    def mark_silent(self, now: Seconds) -> tuple[HostId, ...]:
        """Return the hosts that are found silent now."""
        silent = [
            host
            for host, peer in self.peers.items()
            if peer.is_up and not self._is_live(peer, now)
        ]
        for host in silent:
            self.peers[host].is_up = False
        return tuple(silent)

    def live(self, now: Seconds) -> dict[HostId, ZoneId]:
        """Return the hosts that this one hears and that do not leave, itself included.

        A host that is no relay hears only the relays of its zone.
        """
        live = {self.host: self.zone}
        for host, peer in self.peers.items():
            if self._is_live(peer, now) and not peer.is_leaving:
                live[host] = peer.zone
        return live

    def reaching_store(
        self, now: Seconds, *, is_store_failing: bool
    ) -> dict[HostId, ZoneId]:
        """Return the live hosts whose last calls to the store succeeded.

        Args:
            now: the time.
            is_store_failing: whether this host's own last call failed.
        """
        reaching = {
            host: zone
            for host, zone in self.live(now).items()
            if host == self.host or not self.peers[host].is_store_failing
        }
        if is_store_failing:
            del reaching[self.host]
        return reaching

    def list_followers(self, now: Seconds) -> tuple[HostId, ...]:
        """Return the live hosts that want the state updates of this one."""
        return tuple(
            host
            for host, peer in self.peers.items()
            if peer.is_follower and self._is_live(peer, now)
        )

    def hears_other_zones(self, now: Seconds) -> bool:
        """Return whether this host itself hears a host of another zone."""
        return any(
            peer.zone != self.zone and self._is_live(peer, now)
            for peer in self.peers.values()
        )

    def is_isolated(self, now: Seconds) -> bool:
        """Return whether other zones have hosts, but neither this host hears them nor
        any live host of its zone does.
        """
        if all(zone == self.zone for zone in self._known.values()):
            return False
        return not any(
            self._is_live(peer, now)
            and (peer.zone != self.zone or peer.hears_other_zones)
            for peer in self.peers.values()
        )

    def choose_roster(self, receiver: HostId) -> Roster:
        """Return the roster for a host: of the fleet if it is in this zone."""
        peer = self.peers.get(receiver)
        is_far = peer is not None and peer.zone != self.zone
        return self.heard_roster if is_far else self.fleet_roster

    def digest_for(self, receiver: HostId) -> int:
        """Return the digest of the roster for a host."""
        is_fleet = self.choose_roster(receiver) is self.fleet_roster
        return self._fleet_digest if is_fleet else self._heard_digest

    def _list_heard(self) -> Roster:
        """Return the hosts that this one hears itself by zone, itself included."""
        heard = {self.zone: [self.host]}
        for host, peer in self.peers.items():
            if peer.last_heard is not None:
                heard.setdefault(peer.zone, []).append(host)
        return {zone: tuple(sorted(hosts)) for zone, hosts in heard.items()}

    def _copy_far_rosters(self) -> Roster:
        """Return the hosts heard in other zones, and what those hear in their own."""
        zones: dict[ZoneId, set[HostId]] = {}
        for host, peer in self.peers.items():
            if peer.zone != self.zone and peer.last_heard is not None:
                told = {host, *peer.roster.get(peer.zone, ())}
                zones.setdefault(peer.zone, set()).update(told)
        return {zone: tuple(sorted(hosts)) for zone, hosts in zones.items()}

    def _forget_silent(self, now: Seconds) -> None:
        for host, peer in tuple(self.peers.items()):
            if now - (peer.last_heard or peer.added) > GONE_AFTER:
                del self.peers[host]
            elif peer.asked_since is not None and (
                now - peer.asked_since > SILENT_RETRY
            ):
                peer.asked_since = None

    def _collect_known(self) -> dict[HostId, ZoneId]:
        known = {self.host: self.zone}
        known.update(
            (host, peer.zone)
            for host, peer in self.peers.items()
            if peer.is_listed or peer.last_heard is not None
        )
        for peer in self.peers.values():
            for zone, hosts in peer.roster.items():
                known.update((host, zone) for host in hosts if host not in known)
        return known

    def _select_candidates(self, now: Seconds) -> dict[HostId, ZoneId]:
        """Return the known hosts that may be relays.

        Where all hosts of a zone are silent, all of them are candidates, so that the
        zone is found again when it returns.
        """
        usable = {
            host: zone
            for host, zone in self._known.items()
            if host not in self.peers or self._may_relay(self.peers[host], now)
        }
        zones = set(usable.values())
        silent = {host: zone for host, zone in self._known.items() if zone not in zones}
        return usable | silent

    def _may_relay(self, peer: PeerView, now: Seconds) -> bool:
        if peer.is_leaving and self._is_live(peer, now):
            return False
        if peer.asked_since is None:
            return True
        return now - peer.asked_since <= choose_silence_limit(self.interval)

    def _is_live(self, peer: PeerView, now: Seconds) -> bool:
        if peer.last_heard is None:
            return False
        return now - peer.last_heard <= choose_silence_limit(self.interval)


def digest_roster(roster: Roster) -> int:
    """Return a digest that differs for different rosters."""
    lines = [f'{zone} {" ".join(hosts)}' for zone, hosts in sorted(roster.items())]
    return int(xxhash.xxh3_64_intdigest('\n'.join(lines).encode()))
