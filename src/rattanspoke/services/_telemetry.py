"""Counters and the time line of one host."""

import time
from collections import defaultdict, deque

from hdrh.histogram import HdrHistogram

from ..contracts import Identity, Metric
from ..model import Event, EventKind, OrganisationId, RequestId, UpstreamId, ZoneId

MAX_EVENTS = 20_000
HISTOGRAM_SCALE = 1_000_000  # parts of one; distributions are kept in whole numbers
MAX_HISTOGRAM_VALUE = 60 * HISTOGRAM_SCALE
SIGNIFICANT_DIGITS = 2


class HostCounters:
    """Counts of what the host did, kept as plain numbers until they are scraped."""

    def __init__(self) -> None:
        self._totals: dict[tuple[Metric, str], float] = defaultdict(float)
        self._distributions: dict[Metric, HdrHistogram] = {}

    def add(self, metric: Metric, label: str = '', amount: float = 1) -> None:
        """Raise a counter."""
        self._totals[metric, label] += amount

    def observe(self, metric: Metric, amount: float) -> None:
        """Add a value to a distribution."""
        if metric not in self._distributions:
            self._distributions[metric] = HdrHistogram(
                1, MAX_HISTOGRAM_VALUE, SIGNIFICANT_DIGITS
            )
        scaled = min(MAX_HISTOGRAM_VALUE, max(1, int(amount * HISTOGRAM_SCALE)))
        self._distributions[metric].record_value(scaled)

    def total(self, metric: Metric, label: str | None = None) -> float:
        """Return a counter, summed over its labels when none is given."""
        return sum(
            amount
            for (name, each), amount in self._totals.items()
            if name is metric and label in {None, each}
        )

    def totals(self) -> dict[tuple[Metric, str], float]:
        """Return every counter by its name and label."""
        return dict(self._totals)

    def quantile(self, metric: Metric, fraction: float) -> float:
        """Return a quantile of a distribution, zero when it is empty."""
        distribution = self._distributions.get(metric)
        if distribution is None:
            return 0
        return (
            float(distribution.get_value_at_percentile(fraction * 100))
            / HISTOGRAM_SCALE
        )

    def distributions(self) -> tuple[Metric, ...]:
        """Return the names of the distributions that hold values."""
        return tuple(self._distributions)


class HostTimeline:
    """A bounded history of events, ordered over hosts by Lamport time."""

    def __init__(self, identity: Identity) -> None:
        self._identity = identity
        self._events: deque[Event] = deque(maxlen=MAX_EVENTS)
        self._tick = 0

    def note(
        self,
        kind: EventKind,
        detail: str,
        *,
        request: RequestId | None = None,
        upstream: UpstreamId | None = None,
        zone: ZoneId | None = None,
        organisation: OrganisationId | None = None,
    ) -> None:
        """Keep an event."""
        event = Event(
            kind=kind,
            detail=detail,
            host=self._identity.host,
            incarnation=self._identity.incarnation,
            tick=self.tick(),
            wall=time.time(),
            request=request,
            upstream=upstream,
            zone=zone,
            organisation=organisation,
        )
        self._events.append(event)

    def tick(self) -> int:
        """Return the Lamport time for a message that is about to be sent."""
        self._tick += 1
        return self._tick

    def merge_tick(self, tick: int) -> None:
        """Move the Lamport time past that of a message that arrived."""
        self._tick = max(self._tick, tick)

    def select(self) -> tuple[Event, ...]:
        """Return the events that are kept, oldest first."""
        return tuple(self._events)
