"""How many extra sends a service may get from this host.

Load pattern: a tenth of the upstreams turns slow at once, so that most searches would
like to hedge, while every hedge and retry adds to the load of the others. The platform
bounds the extra arrivals of all hosts together in each window; every host keeps to its
part without asking the others. Hosts that are killed and come back within a window know
nothing of what they spent, and begin with little.
"""

from ..model import Seconds
from ._budget import RatioBudget

RETRY_RESERVE = 0.25  # of the budget, which hedges leave to retries
SAFE_PART = 0.85  # of the allowed ratio; views of the fleet's size may differ
SLACK_PART = 0.55  # of the slack that hosts have saved at most
# Two restarts of every host in one window stay within SAFE_PART of the slack, and a
# restarted host has enough saved for a hedge.
START_PART = (SAFE_PART - SLACK_PART) / 2 / SLACK_PART  # of what it saves at most


def make_extra_budget(
    ratio: float, slack: float, live_hosts: int, *, starts_full: bool = True
) -> RatioBudget:
    """Return one host's part of what a service may get beside first sends.

    Args:
        ratio: extra sends for each request, over all hosts.
        slack: extra sends in a window beside that, over all hosts.
        live_hosts: hosts that share the slack.
        starts_full: whether no earlier life of any host can have spent of it lately.
    """
    capacity = share_slack(slack, live_hosts)
    saved = capacity if starts_full else capacity * START_PART
    return RatioBudget(ratio=ratio * SAFE_PART, capacity=capacity, saved=saved)


def fit_extra_budget(
    budget: RatioBudget, ratio: float, slack: float, live_hosts: int
) -> None:
    """Keep a budget to one host's part while rules and the fleet's size change."""
    budget.ratio = ratio * SAFE_PART
    budget.resize(share_slack(slack, live_hosts))


def share_slack(slack: float, live_hosts: int) -> float:
    """Return one host's part of the extra sends that a window allows beside the ratio.

    Args:
        slack: extra sends in a window, over all hosts.
        live_hosts: hosts that share them.
    """
    return max(1, slack * SLACK_PART / max(1, live_hosts))


def may_hedge(budget: RatioBudget) -> bool:
    """Whether enough is left for a hedge beside the retries that may be needed.

    A retry brings an answer that would be lost, a hedge only brings it sooner.
    """
    return budget.fill > RETRY_RESERVE


def first_hedge(objective: Seconds) -> Seconds:
    """Return the seconds to wait before a hedge while no latency is known yet."""
    return Seconds(objective / 4)
