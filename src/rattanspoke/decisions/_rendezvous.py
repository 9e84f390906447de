"""Rank hosts by rendezvous hashing, so that all hosts agree on the order for a key."""

from collections.abc import Iterable

import xxhash

from ..model import HostId


def rank_hosts(key: str, hosts: Iterable[HostId]) -> list[HostId]:
    """Return the hosts in descending order of their weight for the key."""
    return sorted(hosts, key=lambda host: _weigh(key, host), reverse=True)


def _weigh(key: str, host: HostId) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f'{key}|{host}'.encode()), host
