"""Choose which hosts exchange heartbeats, and which of them watch the store.

A host exchanges heartbeats with every host of its own zone and with a few of every
other zone, so their number grows with the zone and not with the whole fleet.

Long polls on the platform's store are expensive and their number is bounded. Therefore
two hosts watch the store and replicate its state to the others. Hosts whose calls to
the store fail are not chosen. Any host that receives no state updates for too long
queries the store itself, without being chosen.
"""

from collections import defaultdict
from collections.abc import Mapping

from ..model import HostId, Seconds, ZoneId
from ._rendezvous import rank_hosts

LINKS_PER_ZONE = 2  # hosts of each other zone that a host exchanges heartbeats with
STORE_WATCHERS = 2  # hosts of the fleet that watch the store while its calls succeed
# Seconds for which a long poll stays open while nothing changes. A broken connection
# may go unnoticed during that time; only the end of the poll proves that it works.
WATCH_WAIT = Seconds(1.2)
MIN_INTERVAL = Seconds(0.4)  # between heartbeats to one host
# Heartbeats that a host sends at most, because control traffic is bounded.
MAX_HEARTBEATS_PER_SECOND = 30
# Heartbeats in sequence from a watcher to any host: one to the links of the watcher,
# and one from there.
WATCHER_HOPS = 2
DELIVERY_SLACK = Seconds(0.2)  # for calls and heartbeats in transit


def choose_heartbeat_interval(links: int) -> Seconds:
    """Return the seconds between heartbeats to one host.

    They grow with the links, which limits the rate at which this host sends.

    Args:
        links: the number of hosts that this host exchanges heartbeats with.
    """
    return Seconds(max(MIN_INTERVAL, links / MAX_HEARTBEATS_PER_SECOND))


def choose_stale_age(interval: Seconds) -> Seconds:
    """Return the age of the store state after which a host queries the store.

    The age is the seconds since this host, or a peer whose heartbeats it receives,
    last had a reply from the store.

    Args:
        interval: the seconds between heartbeats to one host.
    """
    return Seconds(WATCH_WAIT + WATCHER_HOPS * interval + DELIVERY_SLACK)


def choose_silence_limit(interval: Seconds) -> Seconds:
    """Return the seconds without a heartbeat after which a host is not live.

    This is the time of three missed heartbeats.

    Args:
        interval: the seconds between heartbeats to one host.
    """
    return Seconds(3 * interval + DELIVERY_SLACK)


def rank_by_zone(hosts: Mapping[HostId, ZoneId]) -> dict[ZoneId, list[HostId]]:
    """Return the hosts of each zone in an order that all hosts compute alike."""
    by_zone: dict[ZoneId, list[HostId]] = defaultdict(list)
    for host, zone in hosts.items():
        by_zone[zone].append(host)
    return {zone: rank_hosts(f'links {zone}', each) for zone, each in by_zone.items()}


def choose_links(own: ZoneId, hosts: Mapping[HostId, ZoneId]) -> tuple[HostId, ...]:
    """Return the hosts that this host exchanges heartbeats with.

    Args:
        own: the zone of this host.
        hosts: all other hosts, with their zones.
    """
    chosen: list[HostId] = []
    for zone, ranked in rank_by_zone(hosts).items():
        chosen += ranked if zone == own else ranked[:LINKS_PER_ZONE]
    return tuple(chosen)


def choose_watchers(hosts: Mapping[HostId, ZoneId]) -> tuple[HostId, ...]:
    """Return the hosts that watch the store.

    They are the first in the order of their zones. All hosts exchange heartbeats with
    those, so that the state updates of the watchers reach all hosts directly. Where
    there are several zones, the watchers are in different ones.

    Args:
        hosts: the live hosts whose calls to the store succeed, with their zones.
    """
    first = [ranked[0] for ranked in rank_by_zone(hosts).values()]
    second = [ranked[1] for ranked in rank_by_zone(hosts).values() if len(ranked) > 1]
    ranked = rank_hosts('followers', first) + rank_hosts('followers', second)
    return tuple(ranked[:STORE_WATCHERS])
