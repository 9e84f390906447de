"""Announcements between services that do not know each other."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

Payload = TypeVar('Payload')
Listener = Callable[[Payload], None]


@dataclass(frozen=True, slots=True)
class Topic(Generic[Payload]):
    """Name a kind of announcement and fix the type of what it carries."""

    name: str


class Bus:
    """Call every listener of a topic in the order in which they subscribed."""

    __slots__ = ('_listeners',)

    def __init__(self) -> None:
        self._listeners: dict[str, list[Listener[Any]]] = defaultdict(list)

    def subscribe(self, topic: Topic[Payload], listener: Listener[Payload]) -> None:
        """Add a listener; listeners must return at once and never raise."""
        self._listeners[topic.name].append(listener)

    def publish(self, topic: Topic[Payload], payload: Payload) -> None:
        """Hand a payload to the listeners of its topic."""
        for listener in self._listeners[topic.name]:
            listener(payload)
