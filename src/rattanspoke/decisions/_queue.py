"""Queue the work for one upstream: by priority class, then fairly, then by urgency.

A class with a lower priority number is always served first. The organisations of one
class share the upstream by start-time fair queueing. The work of one organisation is
ordered by urgency and then by deadline. Callers choose the urgency themselves, so it
must not give one organisation an advantage over another.
"""

import heapq
from collections import deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from ..model import OrganisationId, Seconds

Work = TypeVar('Work')


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueItem(Generic[Work]):
    """A piece of queued work and the properties that decide its place.

    Attributes:
        work: the work itself; the queue does not look into it.
        organisation: the organisation whose share of the upstream the work uses.
        priority: the class of the organisation; a lower number is served first.
        urgency: set by the caller; among the items of one organisation, a higher
            number is served first.
        deadline: the time after which the result is of no use. Among items of equal
            urgency, the earliest deadline is served first.
        solo: whether the work must not share a call with other work.
    """

    work: Work
    organisation: OrganisationId
    priority: int
    urgency: int
    deadline: Seconds
    solo: bool = False


@dataclass(slots=True)
class _Flow(Generic[Work]):
    """The items of one organisation in one class.

    Attributes:
        queue_items: a heap, the next item first.
        start_tag: the virtual time at which the next item starts; each item served
            advances it by one.
    """

    queue_items: list[tuple[int, float, int, QueueItem[Work]]] = field(
        default_factory=list
    )
    start_tag: float = 0


class FairQueue(Generic[Work]):
    """Hold items and return them in the order of service."""

    __slots__ = ('_classes', '_last_number', '_length', '_virtual_times')

    def __init__(self) -> None:
        self._classes: dict[int, dict[OrganisationId, _Flow[Work]]] = {}
        self._virtual_times: dict[int, float] = {}
        self._last_number = 0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, queue_item: QueueItem[Work]) -> None:
        """Add an item.

        An organisation without queued items continues at the virtual time of the
        organisation that was served last, so it accumulates no credit while idle.
        """
        flows = self._classes.setdefault(queue_item.priority, {})
        flow = flows.setdefault(queue_item.organisation, _Flow())
        if not flow.queue_items:
            flow.start_tag = max(
                flow.start_tag, self._virtual_times.get(queue_item.priority, 0)
            )
        self._last_number += 1
        entry = (
            -queue_item.urgency,
            queue_item.deadline,
            self._last_number,
            queue_item,
        )
        heapq.heappush(flow.queue_items, entry)
        self._length += 1

    def pop(self) -> QueueItem[Work]:
        """Remove and return the item that is served next.

        Raises:
            IndexError: when the queue is empty.
        """
        for priority in sorted(self._classes):
            queue_item = self._pop_from_class(priority)
            if queue_item is not None:
                return queue_item
        raise IndexError('the queue is empty')

    def pop_batch(self, max_items: int) -> deque[QueueItem[Work]]:
        """Remove and return items that may share one call; a solo item comes alone."""
        batch = deque([self.pop()])
        while len(batch) < max_items and self._length and not batch[-1].solo:
            queue_item = self.pop()
            if queue_item.solo:
                self.push(queue_item)
                break
            batch.append(queue_item)
        return batch

    def count_ahead(self, organisation: OrganisationId, priority: int) -> int:
        """Return the maximum number of items that are served before a new one.

        These are all items of classes that are served earlier and, in the same class,
        all items of the same organisation. Each other organisation of the class adds
        at most one item more than the organisation has itself, as fair queueing serves
        them in turn.
        """
        ahead = 0
        for class_priority, flows in self._classes.items():
            if class_priority < priority:
                ahead += sum(len(flow.queue_items) for flow in flows.values())
            elif class_priority == priority:
                ahead += self._count_ahead_in_class(flows, organisation)
        return ahead

    def drain(self) -> list[QueueItem[Work]]:
        """Remove and return all items in the order of service."""
        return [self.pop() for _ in range(self._length)]

    def _count_ahead_in_class(
        self, flows: dict[OrganisationId, _Flow[Work]], organisation: OrganisationId
    ) -> int:
        own = len(flows[organisation].queue_items) if organisation in flows else 0
        return sum(min(len(flow.queue_items), own + 1) for flow in flows.values())

    def _pop_from_class(self, priority: int) -> QueueItem[Work] | None:
        flows = self._classes[priority]
        backlogged = [flow for flow in flows.values() if flow.queue_items]
        if not backlogged:
            del self._classes[priority]
            return None
        flow = min(backlogged, key=lambda candidate: candidate.start_tag)
        self._virtual_times[priority] = flow.start_tag
        flow.start_tag += 1
        self._length -= 1
        return heapq.heappop(flow.queue_items)[-1]
