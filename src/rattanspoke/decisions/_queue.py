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
class Ticket(Generic[Work]):
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
class _Share(Generic[Work]):
    tickets: list[tuple[int, float, int, Ticket[Work]]] = field(default_factory=list)
    served: float = 0


class FairQueue(Generic[Work]):
    """Hold tickets and give them out in turn."""

    __slots__ = ('_classes', '_count', '_length', '_virtual')

    def __init__(self) -> None:
        self._classes: dict[int, dict[OrganisationId, _Share[Work]]] = {}
        self._virtual: dict[int, float] = {}
        self._count = 0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, ticket: Ticket[Work]) -> None:
        """Add a ticket; an idle organisation starts level with the one served last."""
        shares = self._classes.setdefault(ticket.priority, {})
        share = shares.setdefault(ticket.organisation, _Share())
        if not share.tickets:
            share.served = max(share.served, self._virtual.get(ticket.priority, 0))
        self._count += 1
        entry = (-ticket.urgency, ticket.deadline, self._count, ticket)
        heapq.heappush(share.tickets, entry)
        self._length += 1

    def pop(self) -> Ticket[Work]:
        """Remove and return the ticket whose turn it is.

        Raises:
            IndexError: when the queue is empty.
        """
        for priority in sorted(self._classes):
            ticket = self._pop_class(priority)
            if ticket is not None:
                return ticket
        raise IndexError('the queue is empty')

    def pop_batch(self, most: int) -> deque[Ticket[Work]]:
        """Remove tickets that may share one call; a solo ticket comes alone."""
        batch = deque([self.pop()])
        while len(batch) < most and self._length and not batch[-1].solo:
            ticket = self.pop()
            if ticket.solo:
                self.push(ticket)
                break
            batch.append(ticket)
        return batch

    def count_ahead(self, organisation: OrganisationId, priority: int) -> int:
        """Return how many tickets a new one would wait for, at most.

        In its own class an organisation waits for its own tickets and for as many of
        each other organisation's as it has itself, but for no more than they have.
        """
        ahead = 0
        for level, shares in self._classes.items():
            if level < priority:
                ahead += sum(len(share.tickets) for share in shares.values())
            elif level == priority:
                ahead += self._count_class(shares, organisation)
        return ahead

    def drain(self) -> list[Ticket[Work]]:
        """Remove and return every ticket."""
        return [self.pop() for _ in range(self._length)]

    def _count_class(
        self, shares: dict[OrganisationId, _Share[Work]], organisation: OrganisationId
    ) -> int:
        own = len(shares[organisation].tickets) if organisation in shares else 0
        return sum(min(len(share.tickets), own + 1) for share in shares.values())

    def _pop_class(self, priority: int) -> Ticket[Work] | None:
        shares = self._classes[priority]
        waiting = [share for share in shares.values() if share.tickets]
        if not waiting:
            del self._classes[priority]
            return None
        share = min(waiting, key=lambda candidate: candidate.served)
        self._virtual[priority] = share.served
        share.served += 1
        self._length -= 1
        return heapq.heappop(share.tickets)[-1]
