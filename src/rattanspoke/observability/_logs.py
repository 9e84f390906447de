"""Log lines as JSON on a stream, bounded in number and never waited for.

Lines of one event that come faster than the bound are dropped, and the next line of
that event says how many were. A line that the stream cannot take at once is dropped
too, so that whoever reads the logs cannot hold up the host.
"""

import os
import sys
import time
from collections import defaultdict
from collections.abc import MutableMapping
from dataclasses import dataclass, field
from typing import Any, TextIO

import structlog

LINES_PER_SECOND = 40.0  # of one event; a host that fails wholly still stays readable
BURST = 100.0  # lines of one event that may come at once


@dataclass(slots=True)
class _Allowance:
    """How many lines of one event may still be written, and how many were dropped."""

    left: float = BURST
    updated: float = 0
    dropped: int = 0


@dataclass(slots=True)
class LineBound:
    """A processor that drops lines of an event beyond its rate."""

    _events: dict[str, _Allowance] = field(
        default_factory=lambda: defaultdict(_Allowance)
    )

    def __call__(
        self, logger: Any, method: str, line: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Return the line, with the number dropped before it; raises DropEvent."""
        allowance = self._events[line['event']]
        now = time.monotonic()
        gained = (now - allowance.updated) * LINES_PER_SECOND
        allowance.left = min(BURST, allowance.left + gained)
        allowance.updated = now
        if allowance.left < 1:
            allowance.dropped += 1
            raise structlog.DropEvent
        allowance.left -= 1
        if allowance.dropped:
            line['dropped_before'] = allowance.dropped
            allowance.dropped = 0
        return line


class DroppingWriter:
    """Write whole lines to a descriptor without ever blocking.

    Attributes:
        dropped: lines that the descriptor could not take.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._rest = b''
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line, or drop it when an earlier one is not yet out."""
        content = self._rest or text.encode()
        if self._rest:
            self.dropped += 1
        try:
            written = os.write(self._descriptor, content)
        except BlockingIOError:
            written = 0
            if not self._rest:
                self.dropped += 1
                return len(text)
        self._rest = content[written:]
        return len(text)

    def flush(self) -> None:
        """Do nothing; every line is written at once."""


def configure_logs(level: str, stream: TextIO = sys.stderr) -> None:
    """Write log lines as JSON.

    Args:
        level: the least severe line that is written.
        stream: where lines go.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            LineBound(),
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(
            DroppingWriter(stream.fileno())  # type: ignore[arg-type]
        ),
        cache_logger_on_first_use=True,
    )
