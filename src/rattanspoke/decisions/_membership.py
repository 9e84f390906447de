"""Membership: one host's view of which hosts exist and which are alive.

The platform's host list names the hosts that exist; heartbeats show which are alive. A
silent host is not assumed to be dead: it may be paused or partitioned and still use its
seats. It is proven dead only by a refused connection, or by absence from the list
together with a long silence.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..model import HostId, HostState, Incarnation, ListedHost, Seconds, ZoneId
from ._rendezvous import rank_hosts

MISSED_HEARTBEATS = 4  # intervals without a heartbeat after which a host is silent
# Of two hosts of a zone, one sends heartbeats and the other replies. If no heartbeat
# arrives for this many intervals, the other host sends too.
TAKEOVER_INTERVALS = 1.5
MIN_HEARTBEAT_INTERVAL = Seconds(0.5)
HEARTBEATS_PER_SECOND = 34  # heartbeats that a host sends to its zone at most
DEAD_AFTER = Seconds(30)  # silence after which an unlisted host is proven dead
# Isolation after which a host stops using its seats, well before other hosts may take
# them at DEAD_AFTER.
SELF_FENCE_AFTER = Seconds(10)
HEARTBEAT_LINKS_PER_ZONE = 1  # hosts in each other zone that a host sends heartbeats to


@dataclass(slots=True)
class _KnownHost:
    zone: ZoneId
    heard_at: Seconds
    listed: bool = False
    leaving: bool = False
    refused: bool = False
    incarnation: Incarnation = Incarnation('')


@dataclass(slots=True)
class Membership:
    """One host's view of all hosts.

    Attributes:
        host: the host whose view it is.
        zone: its availability zone.
        zone_heard_at: the time of the last heartbeat from any other host of the zone,
            None if there was none.
    """

    host: HostId
    zone: ZoneId
    zone_heard_at: Seconds | None = None
    _zone_peer_count: int = 0
    _known_hosts: dict[HostId, _KnownHost] = field(default_factory=dict)

    def note_list(self, listed: Iterable[ListedHost], now: Seconds) -> None:
        """Apply the platform's host list.

        A host that is missing from the list is not dead yet; it must also be silent for
        DEAD_AFTER.
        """
        present = {entry.host: entry for entry in listed if entry.host != self.host}
        for host, known in self._known_hosts.items():
            known.listed = host in present
        for host, entry in present.items():
            known = self._known_hosts.setdefault(host, _KnownHost(entry.zone, now))
            known.listed = True
            known.leaving = known.leaving or entry.leaving
        self._count_zone_peers()

    def note_heartbeat(
        self,
        host: HostId,
        zone: ZoneId,
        incarnation: Incarnation,
        now: Seconds,
        *,
        leaving: bool,
    ) -> bool:
        """Record a heartbeat, or the reply to one.

        Args:
            host: the host that sent it.
            zone: the host's availability zone.
            incarnation: the host's incarnation.
            now: the time, on the loop's clock.
            leaving: whether the host is leaving.

        Returns:
            Whether the host is new, has a new incarnation, or had refused connections.
        """
        known = self._known_hosts.get(host)
        is_new = known is None or known.refused or known.incarnation != incarnation
        if known is None:
            known = _KnownHost(zone, now)
            self._known_hosts[host] = known
            self._count_zone_peers()
        known.heard_at = now
        known.refused = False
        if zone == self.zone:
            self.zone_heard_at = now
        known.leaving = leaving
        known.incarnation = incarnation
        return is_new

    def note_refused(self, host: HostId) -> None:
        """Record that a host refused a connection, which proves its process dead."""
        if host in self._known_hosts:
            self._known_hosts[host].refused = True

    def find_state(self, host: HostId, now: Seconds) -> HostState:
        """Return the state of a host in this host's view."""
        known = self._known_hosts.get(host)
        if host == self.host:
            return HostState.LIVE
        if known is None:
            return HostState.SILENT
        silence = now - known.heard_at
        if known.refused or (not known.listed and silence > DEAD_AFTER):
            return HostState.DEAD
        if silence > MISSED_HEARTBEATS * self.interval():
            return HostState.SILENT
        return HostState.LEAVING if known.leaving else HostState.LIVE

    def list_hosts(self, zone: ZoneId | None = None) -> list[HostId]:
        """Return all known hosts of a zone, or of every zone, including this host."""
        hosts = [self.host] if zone in {None, self.zone} else []
        return hosts + [
            host
            for host, known in self._known_hosts.items()
            if zone in {None, known.zone}
        ]

    def list_targets(self, now: Seconds) -> list[HostId]:
        """Return the hosts to send heartbeats to.

        These are the hosts of this zone and a few of each other zone. A reply carries
        the same state as a heartbeat, so while heartbeats pass between two hosts
        of a zone, only the one with the lower name sends.
        """
        zones: dict[ZoneId, list[HostId]] = {}
        for host, known in self._known_hosts.items():
            zones.setdefault(known.zone, []).append(host)
        targets = [
            host
            for host in zones.pop(self.zone, [])
            if self.host < host or self._is_due(host, now)
        ]
        for zone, hosts in zones.items():
            targets += rank_hosts(f'{self.host}>{zone}', hosts)[
                :HEARTBEAT_LINKS_PER_ZONE
            ]
        return targets

    def interval(self) -> Seconds:
        """Return the seconds between heartbeats.

        The interval grows with the zone, so that the host sends at most
        HEARTBEATS_PER_SECOND to it.
        """
        return Seconds(
            max(MIN_HEARTBEAT_INTERVAL, self._zone_peer_count / HEARTBEATS_PER_SECOND)
        )

    def measure_isolation(self, now: Seconds) -> Seconds:
        """Return the seconds since the last heartbeat from another host of the zone.

        The result is zero if there never was one: a host that is alone in its zone is
        not isolated.
        """
        return (
            Seconds(0)
            if self.zone_heard_at is None
            else Seconds(now - self.zone_heard_at)
        )

    def remove_departed(self, now: Seconds) -> list[HostId]:
        """Remove the hosts that are unlisted and silent for twice DEAD_AFTER.

        Returns:
            The hosts that were removed.
        """
        departed = [
            host
            for host, known in self._known_hosts.items()
            if not known.listed and now - known.heard_at > 2 * DEAD_AFTER
        ]
        for host in departed:
            del self._known_hosts[host]
        self._count_zone_peers()
        return departed

    def list_known_hosts(self) -> list[HostId]:
        """Return all known hosts except this one."""
        return list(self._known_hosts)

    def _is_due(self, host: HostId, now: Seconds) -> bool:
        known = self._known_hosts[host]
        is_overdue = now - known.heard_at > TAKEOVER_INTERVALS * self.interval()
        return is_overdue or not known.incarnation

    def _count_zone_peers(self) -> None:
        self._zone_peer_count = sum(
            known.zone == self.zone for known in self._known_hosts.values()
        )
