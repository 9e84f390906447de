"""Choose which hosts exchange heartbeats, and which of them watch the store.

A few hosts of each zone are its relays. Every host exchanges heartbeats with the relays
of its own zone, and the relays of all zones with each other. The traffic of a host
that is no relay is therefore the same in a fleet of any size, and what crosses zones
grows with their number only.

Long polls on the platform's store are expensive and their number is bounded. Therefore
two relays watch the store, and its changes go from them to the relays of all zones and
from these to the hosts. Hosts whose calls to the store fail are not chosen. Any host
that receives no state updates for too long queries the store itself.
"""

from collections.abc import Mapping

from ..model import HostId, Seconds, ZoneId
from ._rendezvous import rank_hosts

# Two, so that neither the death of one nor a cut link delays updates.
RELAYS_PER_ZONE = 2
STORE_WATCHERS = 2  # hosts of the fleet that watch the store while its calls succeed
# Seconds for which a long poll stays open while nothing changes. A broken connection
# may go unnoticed during that time; only the end of the poll proves that it works.
WATCH_WAIT = Seconds(1.2)
MIN_INTERVAL = Seconds(0.4)  # between heartbeats to one host
# Heartbeats that a host sends or answers at most, because control traffic is bounded.
MAX_HEARTBEATS_PER_SECOND = 30
# Heartbeats in sequence from a watcher to any host: one to a relay of its zone, and one
# from there.
WATCHER_HOPS = 2
# Intervals between two heartbeats that a host has from another at most: the one that
# would come first is left out if the other side has sent one meanwhile.
HEARTBEAT_GAP = 1.5
DELIVERY_SLACK = Seconds(0.2)  # for calls and heartbeats in transit

Relays = Mapping[ZoneId, tuple[HostId, ...]]


def choose_heartbeat_interval(links: int, zone_hosts: int) -> Seconds:
    """Return the seconds between heartbeats to one host.

    They grow with the links and with the zone, whose hosts all exchange heartbeats with
    its relays. This limits the rate of every host.

    Args:
        links: the number of hosts that this host sends heartbeats to.
        zone_hosts: the number of hosts in the zone of this host.
    """
    return Seconds(
        max(MIN_INTERVAL, max(links, zone_hosts) / MAX_HEARTBEATS_PER_SECOND)
    )


def choose_stale_age(interval: Seconds) -> Seconds:
    """Return the age of the store state after which a host queries the store.

    The age is the seconds since this host, or a peer whose heartbeats it receives,
    last had a reply from the store.

    Args:
        interval: the seconds between heartbeats to one host.
    """
    delivery = WATCHER_HOPS * HEARTBEAT_GAP * interval + DELIVERY_SLACK
    return Seconds(WATCH_WAIT + delivery)


def choose_silence_limit(interval: Seconds) -> Seconds:
    """Return the seconds without a heartbeat after which a host is not live.

    This is the time of three missed heartbeats.

    Args:
        interval: the seconds between heartbeats to one host.
    """
    return Seconds(3 * interval + DELIVERY_SLACK)


def rank_by_zone(hosts: Mapping[HostId, ZoneId]) -> dict[ZoneId, list[HostId]]:
    """Return the hosts of each zone in an order that all hosts compute alike."""
    by_zone: dict[ZoneId, list[HostId]] = {}
    for host, zone in hosts.items():
        by_zone.setdefault(zone, []).append(host)
    return {zone: rank_hosts(f'links {zone}', each) for zone, each in by_zone.items()}


def choose_relays(hosts: Mapping[HostId, ZoneId]) -> dict[ZoneId, tuple[HostId, ...]]:
    """Return the relays of each zone, in the order of their rank.

    Args:
        hosts: the hosts that may be relays, with their zones.
    """
    return {
        zone: tuple(ranked[:RELAYS_PER_ZONE])
        for zone, ranked in rank_by_zone(hosts).items()
    }


def choose_links(own: HostId, zone: ZoneId, relays: Relays) -> tuple[HostId, ...]:
    """Return the hosts that a host sends heartbeats to.

    Args:
        own: the host.
        zone: its zone.
        relays: the relays of each zone.
    """
    linked = relays.get(zone, ())
    if own in linked:
        linked = tuple(host for each in relays.values() for host in each)
    return tuple(host for host in linked if host != own)


def choose_watchers(hosts: Mapping[HostId, ZoneId]) -> tuple[HostId, ...]:
    """Return the hosts that watch the store.

    They are the first relays of their zones. Where there are several zones, the
    watchers are in different ones.

    Args:
        hosts: the live hosts whose calls to the store succeed, with their zones.
    """
    ranked_by_zone = rank_by_zone(hosts).values()
    first = [ranked[0] for ranked in ranked_by_zone]
    second = [ranked[1] for ranked in ranked_by_zone if len(ranked) > 1]
    ranked = rank_hosts('followers', first) + rank_hosts('followers', second)
    return tuple(ranked[:STORE_WATCHERS])


def choose_sources(
    own: HostId, zone: ZoneId, relays: Relays, watchers: tuple[HostId, ...]
) -> tuple[HostId, ...]:
    """Return the hosts that send their state updates to a host without being asked.

    The relays get them from the watchers, and all other hosts from the relays of their
    zone. There are two of each, so that the loss of one delays no update.

    Args:
        own: the host.
        zone: its zone.
        relays: the relays of each zone.
        watchers: the hosts that watch the store.
    """
    own_relays = relays.get(zone, ())
    sources = watchers if own in own_relays else own_relays
    return tuple(host for host in sources if host != own)
