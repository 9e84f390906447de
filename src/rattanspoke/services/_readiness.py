"""Whether this host asks the balancer for callers."""

import structlog

from ..contracts import FLEET, LIFECYCLE, SHARED_STATE
from ..decisions import SteppingBack
from ..kernel import Kernel
from ..model import Seconds
from ._tasks import read_clock


class HostReadiness:
    """Judge by the lifecycle, by what is known, and by how searches end."""

    def __init__(self, kernel: Kernel) -> None:
        self._lifecycle = kernel.find(LIFECYCLE)
        self._state = kernel.find(SHARED_STATE)
        self._fleet = kernel.find(FLEET)
        self._rotation = SteppingBack()
        self._log = structlog.get_logger()

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return self._state.is_complete and not self.should_close_connections()

    def should_close_connections(self) -> bool:
        """Whether callers that are connected should go to another host."""
        return self._lifecycle.is_leaving or self._is_out_of_rotation()

    def note_search(self, *, is_failed: bool) -> None:
        """Count a search that ended, failed when too few shards were covered."""
        self._rotation.note_search(Seconds(read_clock()), is_failed=is_failed)

    def _is_out_of_rotation(self) -> bool:
        was_back = self._rotation.is_back
        is_back = self._rotation.judge(
            Seconds(read_clock()), is_isolated=self._fleet.is_isolated
        )
        if is_back != was_back:
            self._log.warning('stepped back', is_back=is_back)
        return is_back
