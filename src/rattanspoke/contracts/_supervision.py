"""Protocol and key of the service that keeps background work of a host running."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from enum import Enum, unique
from typing import Any, Protocol

from ..kernel import ServiceKey


@unique
class Importance(Enum):
    """Whether a host can keep its promises while background work keeps failing.

    Attributes:
        ESSENTIAL: it cannot, for example because it no longer follows the state in the
            store, so it is not ready for callers.
        AUXILIARY: it can, and serves as before.
    """

    ESSENTIAL = 'essential'
    AUXILIARY = 'auxiliary'


@dataclass(frozen=True, slots=True)
class BackgroundWork:
    """Work of a service that goes on by itself, beside the requests.

    Attributes:
        name: names the work in logs and metrics.
        start: returns a new coroutine of the work. Returning is its normal end; one
            that is annotated with `NoReturn` has none.
        importance: whether the host is ready while the work keeps failing.
    """

    name: str
    start: Callable[[], Coroutine[Any, Any, None]]
    importance: Importance = Importance.ESSENTIAL


class Supervisor(Protocol):
    """Keeps background work running when it fails with an unexpected error."""

    @property
    def is_impaired(self) -> bool:
        """Whether essential work keeps failing."""

    def running(self) -> tuple[BackgroundWork, ...]:
        """Return the work that has not come to its normal end."""

    def failures(self, name: str) -> int:
        """Return how often work of a name has failed since the start of the host."""

    async def run(self, work: BackgroundWork) -> None:
        """Run work until its normal end, and start it again after each failure."""


SUPERVISOR: ServiceKey[Supervisor] = ServiceKey('supervisor')
