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
MAX_LINE_BURST = 100.0  # lines of one event that may come at once


@dataclass(slots=True)
class _TokenBucket:
    """How many lines of one event may still be written, and how many were dropped."""

    tokens: float = MAX_LINE_BURST
    updated: float = 0
    dropped: int = 0


@dataclass(slots=True)
class LogRateLimiter:
    """A processor that drops lines of an event beyond its rate."""

    _buckets: dict[str, _TokenBucket] = field(
        default_factory=lambda: defaultdict(_TokenBucket)
    )

    def __call__(
        self, logger: Any, method: str, line: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Return the line, with the number dropped before it; raises DropEvent."""
        bucket = self._buckets[line['event']]
        now = time.monotonic()
        refill = (now - bucket.updated) * LINES_PER_SECOND
        bucket.tokens = min(MAX_LINE_BURST, bucket.tokens + refill)
        bucket.updated = now
        if bucket.tokens < 1:
            bucket.dropped += 1
            raise structlog.DropEvent
        bucket.tokens -= 1
        if bucket.dropped:
            line['dropped_before'] = bucket.dropped
            bucket.dropped = 0
        return line


class NonBlockingWriter:
    """Write whole lines to a descriptor without ever blocking.

    Attributes:
        dropped: lines that the descriptor could not take.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._unwritten = b''
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line, or drop it when an earlier one is not yet out."""
        content = self._unwritten or text.encode()
        if self._unwritten:
            self.dropped += 1
        try:
            written = os.write(self._descriptor, content)
        except BlockingIOError:
            written = 0
            if not self._unwritten:
                self.dropped += 1
                return len(text)
        self._unwritten = content[written:]
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
            LogRateLimiter(),
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(
            NonBlockingWriter(stream.fileno())  # type: ignore[arg-type]
        ),
        cache_logger_on_first_use=True,
    )
