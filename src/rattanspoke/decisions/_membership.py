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
OWN_TURN = 1.5  # intervals without a word after which the other host sends too
MIN_HEARTBEAT_INTERVAL = Seconds(0.5)
HOSTS_PER_SECOND = 34  # heartbeats that a host sends each second at most
GONE_AFTER = Seconds(30)  # silence that proves an unlisted host gone
SELF_FENCE = Seconds(10)  # isolation after which a host stops using its seats
LINKS_PER_ZONE = 1  # heartbeat links into each other zone


@dataclass(slots=True)
class _Known:
    zone: ZoneId
    heard: Seconds
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
    zone_heard: Seconds | None = None
    _neighbours: int = 0
    _known: dict[HostId, _Known] = field(default_factory=dict)

    def note_list(self, listed: Iterable[ListedHost], now: Seconds) -> None:
        """Take over the platform's list; a host that it drops is not dead yet."""
        present = {entry.host: entry for entry in listed if entry.host != self.host}
        for host, known in self._known.items():
            known.listed = host in present
        for host, entry in present.items():
            known = self._known.setdefault(host, _Known(entry.zone, now))
            known.listed = True
            known.leaving = known.leaving or entry.leaving
        self._count_neighbours()

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
        known = self._known.get(host)
        fresh = known is None or known.refused or known.incarnation != incarnation
        if known is None:
            known = _Known(zone, now)
            self._known[host] = known
            self._count_neighbours()
        known.heard = now
        known.refused = False
        if zone == self.zone:
            self.zone_heard = now
        known.leaving = leaving
        known.incarnation = incarnation
        return fresh

    def note_refused(self, host: HostId) -> None:
        """Count proof that no process listens at a host's address."""
        if host in self._known:
            self._known[host].refused = True

    def find_state(self, host: HostId, now: Seconds) -> HostState:
        """Return what is believed of a host."""
        known = self._known.get(host)
        if host == self.host:
            return HostState.LIVE
        if known is None:
            return HostState.SILENT
        silence = now - known.heard
        if known.refused or (not known.listed and silence > GONE_AFTER):
            return HostState.DEAD
        if silence > MISSED_HEARTBEATS * self.interval():
            return HostState.SILENT
        return HostState.LEAVING if known.leaving else HostState.LIVE

    def list_hosts(self, zone: ZoneId | None = None) -> list[HostId]:
        """Return every host that is known, of one zone or of all, with this one."""
        hosts = [self.host] if zone in {None, self.zone} else []
        return hosts + [
            host for host, known in self._known.items() if zone in {None, known.zone}
        ]

    def list_targets(self, now: Seconds) -> list[HostId]:
        """Return the hosts to send heartbeats to: the zone's, and a few elsewhere.

        A reply tells as much as a heartbeat, so of two hosts of a zone only one sends
        while they hear each other.
        """
        zones: dict[ZoneId, list[HostId]] = {}
        for host, known in self._known.items():
            zones.setdefault(known.zone, []).append(host)
        targets = [
            host
            for host in zones.pop(self.zone, [])
            if self.host < host or self._is_due(host, now)
        ]
        for zone, hosts in zones.items():
            targets += rank_hosts(f'{self.host}>{zone}', hosts)[:LINKS_PER_ZONE]
        return targets

    def interval(self) -> Seconds:
        """Return the seconds between heartbeats, longer in a large zone."""
        return Seconds(max(MIN_HEARTBEAT_INTERVAL, self._neighbours / HOSTS_PER_SECOND))

    def measure_isolation(self, now: Seconds) -> Seconds:
        """Return the seconds since any other host of the zone was heard.

        A host that never heard another one in its zone is not isolated.
        """
        return Seconds(0) if self.zone_heard is None else Seconds(now - self.zone_heard)

    def forget_gone(self, now: Seconds) -> list[HostId]:
        """Drop hosts that are off the list and long silent; return them."""
        gone = [
            host
            for host, known in self._known.items()
            if not known.listed and now - known.heard > 2 * GONE_AFTER
        ]
        for host in gone:
            del self._known[host]
        self._count_neighbours()
        return gone

    def list_known(self) -> list[HostId]:
        """Return every other host that is known."""
        return list(self._known)

    def _is_due(self, host: HostId, now: Seconds) -> bool:
        known = self._known[host]
        late = now - known.heard > OWN_TURN * self.interval()
        return late or not known.incarnation

    def _count_neighbours(self) -> None:
        self._neighbours = sum(
            known.zone == self.zone for known in self._known.values()
        )
