"""Metrics and the event timeline of one host."""

import time
from collections import defaultdict, deque

from hdrh.histogram import HdrHistogram

from ..contracts import Identity, Metric
from ..model import Event, EventKind, OrganisationId, RequestId, UpstreamId, ZoneId

MAX_EVENTS = 20_000
HISTOGRAM_SCALE = 1_000_000  # per unit, since a histogram records whole numbers
MAX_HISTOGRAM_VALUE = 60 * HISTOGRAM_SCALE  # greater values are recorded as this one
SIGNIFICANT_DIGITS = 2


class HostCounters:
    """Counters and distributions, kept as plain numbers until they are scraped."""

    def __init__(self) -> None:
        self._totals: dict[tuple[Metric, str], float] = defaultdict(float)
        self._distributions: dict[Metric, HdrHistogram] = {}

    def add(self, metric: Metric, label: str = '', amount: float = 1) -> None:
        """Increment a counter."""
        self._totals[metric, label] += amount

    def observe(self, metric: Metric, amount: float) -> None:
        """Record a value in a distribution."""
        if metric not in self._distributions:
            self._distributions[metric] = HdrHistogram(
                1, MAX_HISTOGRAM_VALUE, SIGNIFICANT_DIGITS
            )
        scaled = min(MAX_HISTOGRAM_VALUE, max(1, int(amount * HISTOGRAM_SCALE)))
        self._distributions[metric].record_value(scaled)

    def total(self, metric: Metric, label: str | None = None) -> float:
        """Return the value of a counter, summed over its labels if none is given."""
        return sum(
            amount
            for (name, each), amount in self._totals.items()
            if name is metric and label in {None, each}
        )

    def totals(self) -> dict[tuple[Metric, str], float]:
        """Return the values of all counters by metric and label."""
        return dict(self._totals)

    def quantile(self, metric: Metric, fraction: float) -> float:
        """Return a quantile of a distribution, zero if it holds no value."""
        distribution = self._distributions.get(metric)
        if distribution is None:
            return 0
        return (
            float(distribution.get_value_at_percentile(fraction * 100))
            / HISTOGRAM_SCALE
        )

    def distributions(self) -> tuple[Metric, ...]:
        """Return the metrics of the distributions that hold values."""
        return tuple(self._distributions)


class HostTimeline:
    """A bounded history of events; Lamport time orders those of several hosts."""

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
        """Append an event to the history; the oldest is dropped when it is full."""
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
        """Advance the Lamport clock and return the time for an event or message."""
        self._tick += 1
        return self._tick

    def merge_tick(self, tick: int) -> None:
        """Advance the Lamport clock to at least the time of a received message."""
        self._tick = max(self._tick, tick)

    def select(self) -> tuple[Event, ...]:
        """Return the retained events, oldest first."""
        return tuple(self._events)
