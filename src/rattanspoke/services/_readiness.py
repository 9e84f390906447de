"""Readiness of this host, as the load balancer sees it."""

import structlog

from ..contracts import FLEET, LIFECYCLE, SHARED_STATE, SUPERVISOR
from ..decisions import RotationMonitor
from ..kernel import Kernel
from ..model import Seconds
from ._tasks import read_clock


class HostReadiness:
    """Derive readiness from lifecycle, shared state, failed tasks and searches."""

    def __init__(self, kernel: Kernel) -> None:
        self._lifecycle = kernel.find(LIFECYCLE)
        self._state = kernel.find(SHARED_STATE)
        self._fleet = kernel.find(FLEET)
        self._supervisor = kernel.find(SUPERVISOR)
        self._rotation = RotationMonitor()
        self._log = structlog.get_logger()

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send callers to this host."""
        if not self._state.is_complete or self._supervisor.is_impaired:
            return False
        return not self.should_close_connections()

    def should_close_connections(self) -> bool:
        """Whether replies ask callers to close their connection to this host."""
        return self._lifecycle.is_leaving or self._is_out_of_rotation()

    def note_search(self, *, is_failed: bool) -> None:
        """Count a finished search, as failed when too few shards were covered."""
        self._rotation.note_search(Seconds(read_clock()), is_failed=is_failed)

    def _is_out_of_rotation(self) -> bool:
        was_out = self._rotation.is_out_of_rotation
        is_out = self._rotation.update(
            Seconds(read_clock()), is_isolated=self._fleet.is_isolated
        )
        if is_out != was_out:
            self._log.warning('stepped back', is_back=is_out)
        return is_out
