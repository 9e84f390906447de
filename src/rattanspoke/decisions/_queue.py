"""The owner's queue: class first, then fair shares, then urgency and deadline.

Organisations of one class share an upstream by start-time fair queueing. Urgency is the
caller's own claim, so it orders work only among that organisation's entries.
"""

import heapq
from collections import deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from ..model import OrganisationId, Seconds

Work = TypeVar('Work')


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueItem(Generic[Work]):
    """A piece of work with what decides its turn.

    Attributes:
        priority: the organisation's class; a lower number goes first.
        urgency: the caller's claim; a higher number goes first in its own share.
        deadline: the time after which the work is useless.
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
    queue_items: list[tuple[int, float, int, QueueItem[Work]]] = field(
        default_factory=list
    )
    start_tag: float = 0


class FairQueue(Generic[Work]):
    """Hold tickets and give them out in turn."""

    __slots__ = ('_classes', '_count', '_length', '_virtual')

    def __init__(self) -> None:
        self._classes: dict[int, dict[OrganisationId, _Flow[Work]]] = {}
        self._virtual: dict[int, float] = {}
        self._count = 0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, queue_item: QueueItem[Work]) -> None:
        """Add a ticket; an idle organisation starts level with the one served last."""
        flows = self._classes.setdefault(queue_item.priority, {})
        flow = flows.setdefault(queue_item.organisation, _Flow())
        if not flow.queue_items:
            flow.start_tag = max(
                flow.start_tag, self._virtual.get(queue_item.priority, 0)
            )
        self._count += 1
        entry = (-queue_item.urgency, queue_item.deadline, self._count, queue_item)
        heapq.heappush(flow.queue_items, entry)
        self._length += 1

    def pop(self) -> QueueItem[Work]:
        """Remove and return the ticket whose turn it is.

        Raises:
            IndexError: when the queue is empty.
        """
        for priority in sorted(self._classes):
            queue_item = self._pop_from_class(priority)
            if queue_item is not None:
                return queue_item
        raise IndexError('the queue is empty')

    def pop_batch(self, max_items: int) -> deque[QueueItem[Work]]:
        """Remove tickets that may share one call; a solo ticket comes alone."""
        batch = deque([self.pop()])
        while len(batch) < max_items and self._length and not batch[-1].solo:
            queue_item = self.pop()
            if queue_item.solo:
                self.push(queue_item)
                break
            batch.append(queue_item)
        return batch

    def count_ahead(self, organisation: OrganisationId, priority: int) -> int:
        """Return how many tickets a new one would wait for, at most.

        In its own class an organisation waits for its own tickets and for as many of
        each other organisation's as it has itself, but for no more than they have.
        """
        ahead = 0
        for class_priority, flows in self._classes.items():
            if class_priority < priority:
                ahead += sum(len(flow.queue_items) for flow in flows.values())
            elif class_priority == priority:
                ahead += self._count_ahead_in_class(flows, organisation)
        return ahead

    def drain(self) -> list[QueueItem[Work]]:
        """Remove and return every ticket."""
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
        self._virtual[priority] = flow.start_tag
        flow.start_tag += 1
        self._length -= 1
        return heapq.heappop(flow.queue_items)[-1]
