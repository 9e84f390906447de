"""Slow start: how many requests this host may send to a cold upstream.

Load pattern: an upstream starts, or a whole availability zone comes back, and every
host sees an idle upstream at the same moment. While cold, the upstream can run only a
few requests per second from all hosts together, and fails under more. Hosts share this
limit without exchanging messages: all of them rank the hosts by rendezvous hashing,
the first few split the limit, and the others send nothing until the upstream is warm.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ..model import HostId, Seconds, UpstreamId
from ._budget import TokenBucket
from ._rendezvous import rank_hosts

# Fraction of the limit that is used, because for some seconds hosts may disagree on
# which hosts exist, and more of them than planned may then send.
SAFETY_FACTOR = 0.8


@dataclass(frozen=True, slots=True)
class SlowStartLimit:
    """The most requests that all hosts may send to a cold upstream in any second.

    Attributes:
        factor: multiple of the rate that the upstream's service states.
        slack: requests that are allowed in addition.
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
    """Return a host's token bucket for a cold upstream, None if it may send nothing.

    Args:
        limit: the limit for all hosts together.
        rate: requests per second that the service states for a cold upstream.
        host: the host that the bucket is for.
        hosts: all hosts that may be sending to the upstream.
        upstream: the cold upstream.
        now: the time, on the loop's clock.
    """
    fleet_rate = (rate * limit.factor + limit.slack) * SAFETY_FACTOR
    # Each sender's bucket may hold one token, and all may use theirs in one second. The
    # number of senders is therefore bounded, and subtracted from the rate below.
    senders = max(1, int(min(limit.slack * SAFETY_FACTOR, fleet_rate / 2)))
    if host not in rank_hosts(f'cold {upstream}', hosts)[:senders]:
        return None
    rate_per_sender = max(0, fleet_rate - senders) / senders
    return TokenBucket(rate=rate_per_sender, capacity=1, tokens=1, updated=now)
