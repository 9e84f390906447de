"""A publish-subscribe bus that decouples services from each other."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

Payload = TypeVar('Payload')
Listener = Callable[[Payload], None]


@dataclass(frozen=True, slots=True)
class Topic(Generic[Payload]):
    """The name of a topic and the type of its payloads."""

    name: str


class Bus:
    """Calls the listeners of a topic synchronously, in the order of subscription."""

    __slots__ = ('_listeners',)

    def __init__(self) -> None:
        self._listeners: dict[str, list[Listener[Any]]] = defaultdict(list)

    def subscribe(self, topic: Topic[Payload], listener: Listener[Payload]) -> None:
        """Add a listener of a topic; it must not block and must not raise."""
        self._listeners[topic.name].append(listener)

    def publish(self, topic: Topic[Payload], payload: Payload) -> None:
        """Call every listener of a topic with a payload."""
        for listener in self._listeners[topic.name]:
            listener(payload)
