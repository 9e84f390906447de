"""What a host believes of the other hosts.

The platform's list says who exists, heartbeats say who lives. A silent host is not
dead: it may be paused or cut off and still use its seats. Only a refused connection,
or absence from the list together with a long silence, proves it gone.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..model import HostId, HostState, Incarnation, ListedHost, Seconds, ZoneId
from ._rendezvous import rank_hosts

MISSED_HEARTBEATS = 4
TAKEOVER_INTERVALS = (
    1.5  # intervals without a word after which the other host sends too
)
MIN_HEARTBEAT_INTERVAL = Seconds(0.5)
HEARTBEATS_PER_SECOND = 34  # heartbeats that a host sends each second at most
DEAD_AFTER = Seconds(30)  # silence that proves an unlisted host gone
SELF_FENCE_AFTER = Seconds(10)  # isolation after which a host stops using its seats
HEARTBEAT_LINKS_PER_ZONE = 1  # heartbeat links into each other zone


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
        zone_heard: when any other host of the zone was last heard, None if never.
    """

    host: HostId
    zone: ZoneId
    zone_heard_at: Seconds | None = None
    _zone_peer_count: int = 0
    _known_hosts: dict[HostId, _KnownHost] = field(default_factory=dict)

    def note_list(self, listed: Iterable[ListedHost], now: Seconds) -> None:
        """Take over the platform's list; a host that it drops is not dead yet."""
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
        """Count a sign of life; tell whether the host is new or began a new life."""
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
        """Count proof that no process listens at a host's address."""
        if host in self._known_hosts:
            self._known_hosts[host].refused = True

    def judge(self, host: HostId, now: Seconds) -> HostState:
        """Return what is believed of a host."""
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
        """Return every host that is known, of one zone or of all, with this one."""
        hosts = [self.host] if zone in {None, self.zone} else []
        return hosts + [
            host
            for host, known in self._known_hosts.items()
            if zone in {None, known.zone}
        ]

    def list_targets(self, now: Seconds) -> list[HostId]:
        """Return the hosts to send heartbeats to: the zone's, and a few elsewhere.

        A reply tells as much as a heartbeat, so of two hosts of a zone only one sends
        while they hear each other.
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
        """Return the seconds between heartbeats, longer in a large zone."""
        return Seconds(
            max(MIN_HEARTBEAT_INTERVAL, self._zone_peer_count / HEARTBEATS_PER_SECOND)
        )

    def measure_isolation(self, now: Seconds) -> Seconds:
        """Return the seconds since any other host of the zone was heard.

        A host that never heard another one in its zone is not isolated.
        """
        return (
            Seconds(0)
            if self.zone_heard_at is None
            else Seconds(now - self.zone_heard_at)
        )

    def remove_departed(self, now: Seconds) -> list[HostId]:
        """Drop hosts that are off the list and long silent; return them."""
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
        """Return every other host that is known."""
        return list(self._known_hosts)

    def _is_due(self, host: HostId, now: Seconds) -> bool:
        known = self._known_hosts[host]
        is_overdue = now - known.heard_at > TAKEOVER_INTERVALS * self.interval()
        return is_overdue or not known.incarnation

    def _count_zone_peers(self) -> None:
        self._zone_peer_count = sum(
            known.zone == self.zone for known in self._known_hosts.values()
        )
