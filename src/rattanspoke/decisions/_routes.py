"""Find the route of a request, and choose a service of a weighted split."""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..model import DesiredState, Route, RouteId, ServiceId, WeightedService


class RouteTable:
    """The routes of one version of the configuration, by host name and path prefix."""

    __slots__ = ('_by_authority', 'version')

    def __init__(self, state: DesiredState) -> None:
        self.version = state.version
        by_authority: dict[str, list[Route]] = defaultdict(list)
        for route in state.routes:
            by_authority[route.authority].append(route)
        for routes in by_authority.values():
            routes.sort(key=_measure_prefix, reverse=True)
        self._by_authority = dict(by_authority)

    def find(self, authority: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, None without a match."""
        for route in self._by_authority.get(authority, ()):
            if path.startswith(route.prefix):
                return route
        return None


def _measure_prefix(route: Route) -> int:
    return len(route.prefix)


@dataclass(slots=True)
class WeightedRoundRobin:
    """Distribute requests over the services of a split by smooth weighted round robin.

    After any number of requests, each service is within one request of its share. Each
    host keeps its own state, so this holds for the requests of every single host.
    """

    _credit: dict[tuple[RouteId, ServiceId], float] = field(default_factory=dict)

    def choose(self, route: RouteId, choices: Sequence[WeightedService]) -> ServiceId:
        """Return the service that is furthest behind its share of the requests."""
        total = sum(choice.weight for choice in choices)
        credit = self._credit
        for choice in choices:
            key = route, choice.service
            credit[key] = credit.get(key, 0) + choice.weight
        chosen = max(choices, key=lambda choice: credit[route, choice.service])
        credit[route, chosen.service] -= total
        return chosen.service
