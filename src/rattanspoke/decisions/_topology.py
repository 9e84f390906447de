"""Which hosts exchange pulses, and which of them wait on the platform's store.

Pulses go to every host of the own zone and to a few of every other zone, so that their
number grows with the zone and not with the fleet. Waiting calls to the store are dear
and bounded; two hosts wait and pass the news on. Hosts that the store fails are not
among the two, and every other one steps in by itself when no news of the store reaches
it.
"""

from collections import defaultdict
from collections.abc import Mapping

from ..model import HostId, Seconds, ZoneId
from ._rendezvous import rank_hosts

LINKS_PER_ZONE = 2  # hosts of every other zone that a host exchanges pulses with
STORE_WATCHERS = 2  # hosts of the fleet that wait on the store while all is well
# Seconds that a follower's watch may last while nothing changes. It may fall silent
# unseen, so that its end is what proves the connection.
WATCH_WAIT = Seconds(1.2)
MIN_INTERVAL = Seconds(0.4)  # between pulses to one host
MAX_HEARTBEATS_PER_SECOND = (
    30  # that a host sends at most, by the bound on control traffic
)
WATCHER_HOPS = (
    2  # pulses from a follower to any host: to its zone's links, and on from there
)
DELIVERY_SLACK = Seconds(0.2)  # for calls and pulses that are on their way


def choose_heartbeat_interval(links: int) -> Seconds:
    """Return the seconds between pulses to one host; it grows with the links."""
    return Seconds(max(MIN_INTERVAL, links / MAX_HEARTBEATS_PER_SECOND))


def choose_stale_age(interval: Seconds) -> Seconds:
    """Return the age of the newest word of the store after which every host asks it."""
    return Seconds(WATCH_WAIT + WATCHER_HOPS * interval + DELIVERY_SLACK)


def choose_silence_limit(interval: Seconds) -> Seconds:
    """Return the silence after which a host is not counted as alive: three pulses."""
    return Seconds(3 * interval + DELIVERY_SLACK)


def rank_by_zone(hosts: Mapping[HostId, ZoneId]) -> dict[ZoneId, list[HostId]]:
    """Return the hosts of each zone in the order that every host agrees on."""
    by_zone: dict[ZoneId, list[HostId]] = defaultdict(list)
    for host, zone in hosts.items():
        by_zone[zone].append(host)
    return {zone: rank_hosts(f'links {zone}', each) for zone, each in by_zone.items()}


def choose_links(own: ZoneId, hosts: Mapping[HostId, ZoneId]) -> tuple[HostId, ...]:
    """Return the hosts to exchange pulses with, of the hosts besides this one."""
    chosen: list[HostId] = []
    for zone, ranked in rank_by_zone(hosts).items():
        chosen += ranked if zone == own else ranked[:LINKS_PER_ZONE]
    return tuple(chosen)


def choose_watchers(hosts: Mapping[HostId, ZoneId]) -> tuple[HostId, ...]:
    """Return the hosts that wait on the store, of those that live and that it answers.

    They are links of their zones, so that every host hears of them at once, and of
    different zones where there are several.
    """
    first = [ranked[0] for ranked in rank_by_zone(hosts).values()]
    second = [ranked[1] for ranked in rank_by_zone(hosts).values() if len(ranked) > 1]
    ranked = rank_hosts('followers', first) + rank_hosts('followers', second)
    return tuple(ranked[:STORE_WATCHERS])
