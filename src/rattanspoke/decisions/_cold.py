"""What this host may send to a cold upstream.

Load pattern: an upstream starts, or a whole zone comes back, and every host finds it
idle at the same moment. Cold, it bears some requests a second from all hosts together
and falls over under more. Hosts do not ask each other: the first few in an order that
all agree on share what it bears, and the others send nothing until it is warm.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ..model import HostId, Seconds, UpstreamId
from ._budget import TokenBucket
from ._rendezvous import rank_hosts

SAFETY_FACTOR = 0.8  # of what is borne; views of the fleet may differ for some seconds


@dataclass(frozen=True, slots=True)
class SlowStartLimit:
    """What a cold upstream bears from all hosts together, in any second.

    Attributes:
        factor: multiple of the upstream's own rate.
        slack: requests beside that.
    """

    factor: float
    slack: float


def make_slow_start_bucket(
    limit: SlowStartLimit,
    rate: float,
    host: HostId,
    hosts: Iterable[HostId],
    upstream: UpstreamId,
    now: Seconds,
) -> TokenBucket | None:
    """Return what a host may send to a cold upstream, None for nothing at all.

    Args:
        bound: over all hosts.
        rate: requests a second that the upstream says it bears while cold.
        host: the one that asks.
        hosts: those that may be sending.
        upstream: the cold one.
        now: the time, on the loop's clock.
    """
    fleet_rate = (rate * limit.factor + limit.slack) * SAFETY_FACTOR
    # Each sender may have one request saved up, which all may send in one second.
    senders = max(1, int(min(limit.slack * SAFETY_FACTOR, fleet_rate / 2)))
    if host not in rank_hosts(f'cold {upstream}', hosts)[:senders]:
        return None
    rate_per_sender = max(0, fleet_rate - senders) / senders
    return TokenBucket(rate=rate_per_sender, capacity=1, tokens=1, updated=now)
