"""The retry budget of a service at this host: extra sends, that is hedges and retries.

Load pattern: a tenth of the upstreams turns slow at once, so most searches could use a
hedge, while every hedge and retry adds to the load of the other upstreams. The platform
limits the extra sends of all hosts together in each time window: a ratio to the
requests, plus a fixed number (the slack). Each host keeps to its share of the limit
without asking the others: most of its part of the slack is a balance for bursts, and
some of it comes back with time. In a large fleet the slack is as large as the requests,
and the ratio alone would leave most of it unused. A host that is killed and restarts
within a window does not know what it has withdrawn, and starts with a small balance.
"""

import math

from ..model import Seconds
from ._budget import RetryBudget

RETRY_RESERVE = 0.25  # fraction of the budget that hedges leave for retries
# Fraction of the allowed ratio that is used, because hosts may disagree on the number
# of live hosts.
SAFETY_FACTOR = 0.85
# Largest balance of all hosts together, as a fraction of the slack.
SLACK_FRACTION = 0.55
# What all hosts together regain in a window, as a fraction of the slack.
REFILL_FRACTION = 0.12
# Largest use of the slack in any window, as a fraction: a full balance, what comes back
# in the window, and the first balances after two restarts of every host.
SLACK_LIMIT = 0.95
# Balance of a restarted host, as a fraction of its capacity: enough for a hedge.
INITIAL_FRACTION = (SLACK_LIMIT - SLACK_FRACTION - REFILL_FRACTION) / 2 / SLACK_FRACTION
NEVER = Seconds(math.inf)


def make_extra_budget(
    ratio: float, slack: float, live_hosts: int, *, starts_full: bool = True
) -> RetryBudget:
    """Return one host's retry budget for a service.

    Args:
        ratio: extra sends allowed for each request, over all hosts.
        slack: extra sends allowed in a window in addition, over all hosts.
        live_hosts: the number of hosts that share the slack.
        starts_full: whether the budget starts at its capacity, which is safe when no
            earlier incarnation of any host can have withdrawn from it in this window.
    """
    capacity = divide_slack(slack, live_hosts)
    balance = capacity if starts_full else capacity * INITIAL_FRACTION
    return RetryBudget(ratio=ratio * SAFETY_FACTOR, capacity=capacity, balance=balance)


def resize_extra_budget(
    budget: RetryBudget,
    ratio: float,
    slack: float,
    live_hosts: int,
    window: Seconds = NEVER,
) -> None:
    """Adjust a host's budget to new rules or to a new number of live hosts.

    Args:
        budget: the budget to change.
        ratio: extra sends allowed for each request, over all hosts.
        slack: extra sends allowed in a window in addition, over all hosts.
        live_hosts: the number of hosts that share the slack.
        window: the seconds of a window; infinite if the slack never comes back.
    """
    budget.ratio = ratio * SAFETY_FACTOR
    budget.rate = slack * REFILL_FRACTION / max(1, live_hosts) / window
    budget.resize(divide_slack(slack, live_hosts))


def divide_slack(slack: float, live_hosts: int) -> float:
    """Return one host's share of the slack, which is the capacity of its budget.

    Args:
        slack: extra sends allowed in a window besides the ratio, over all hosts.
        live_hosts: the number of hosts that share them.
    """
    return max(1, slack * SLACK_FRACTION / max(1, live_hosts))


def may_hedge(budget: RetryBudget) -> bool:
    """Return whether the budget allows a hedge and still keeps a reserve for retries.

    Retries go first: a retry saves an answer that would be lost, while a hedge only
    makes an answer faster.
    """
    return budget.remaining_fraction > RETRY_RESERVE


def choose_initial_hedge_delay(objective: Seconds) -> Seconds:
    """Return the seconds to wait before a hedge while too few latencies are measured.

    Args:
        objective: the latency objective of the route, in seconds.
    """
    return Seconds(objective / 4)
