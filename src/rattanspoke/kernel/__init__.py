"""The kernel: a service registry with ordered start and stop, and an event bus."""

from ._bus import Bus, Topic
from ._kernel import Kernel, Service, ServiceKey

__all__ = ('Bus', 'Kernel', 'Service', 'ServiceKey', 'Topic')
