"""The registry of a host's services, which also starts and stops them."""

from contextlib import AsyncExitStack
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Generic, Protocol, Self, TypeVar, cast, runtime_checkable

from ..model import ServiceDuplicate, ServiceMissing
from ._bus import Bus

Contract = TypeVar('Contract')


@runtime_checkable
class Service(Protocol):
    """A service with work to do at its start and stop."""

    async def __aenter__(self) -> Any:
        """Start the service."""

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """Stop the service and release its resources."""


@dataclass(frozen=True, slots=True)
class ServiceKey(Generic[Contract]):
    """The name of a service and the protocol that it implements."""

    name: str


class Kernel:
    """A registry of services by name.

    Entering it starts the services in the order of their registration; leaving it stops
    them in reverse order. If one fails to start, those already started are stopped.
    """

    def __init__(self) -> None:
        self.bus = Bus()
        self._services: dict[str, Any] = {}
        self._stack = AsyncExitStack()

    def provide(self, key: ServiceKey[Contract], service: Contract) -> None:
        """Register a service under its name.

        Raises:
            ServiceDuplicate: when another service has the name.
        """
        if key.name in self._services:
            raise ServiceDuplicate(key.name)
        self._services[key.name] = service

    def find(self, key: ServiceKey[Contract]) -> Contract:
        """Return the service registered under a name.

        Raises:
            ServiceMissing: when no service has the name.
        """
        try:
            service = self._services[key.name]
        except KeyError as error:
            raise ServiceMissing(key.name) from error
        return cast(Contract, service)

    def names(self) -> tuple[str, ...]:
        """Return the names of all services in the order of their start."""
        return tuple(self._services)

    async def __aenter__(self) -> Self:
        async with AsyncExitStack() as stack:
            for service in self._services.values():
                if isinstance(service, Service):
                    await stack.enter_async_context(service)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._stack.aclose()
