"""Structured logs: rate-limited lines of JSON, written without blocking.

Lines of one event that exceed its rate are dropped, and the next line of that event
holds their number. A line that the stream cannot accept at once is dropped as well, so
that a slow reader of the logs cannot block the host.
"""

import os
import sys
import time
from collections import defaultdict
from collections.abc import MutableMapping
from dataclasses import dataclass, field
from typing import Any, TextIO

import structlog

LINES_PER_SECOND = 40.0  # of one event; keeps the logs of a failing host readable
MAX_LINE_BURST = 100.0  # lines of one event in a burst


@dataclass(slots=True)
class _TokenBucket:
    """The rate limit of one event.

    Attributes:
        tokens: lines that may be written now.
        updated: when the tokens were last refilled, on the monotonic clock.
        dropped: lines that were dropped since the last one written.
    """

    tokens: float = MAX_LINE_BURST
    updated: float = 0
    dropped: int = 0


@dataclass(slots=True)
class LogRateLimiter:
    """A structlog processor that limits the rate of the lines of each event."""

    _buckets: dict[str, _TokenBucket] = field(
        default_factory=lambda: defaultdict(_TokenBucket)
    )

    def __call__(
        self, logger: Any, method: str, line: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Return the line, with the number of lines dropped before it.

        Raises:
            structlog.DropEvent: when the line exceeds the rate of its event.
        """
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
    """Writes whole lines to a file descriptor; never blocks and never fails.

    Attributes:
        dropped: number of lines dropped because the descriptor was not writable, or
            because what reads from it has gone away.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._unwritten = b''
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line, or drop it while part of an earlier line is unwritten."""
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
        except OSError:
            # There is no place left to log to. The work that is logged must go on.
            self.dropped += 1
            written = len(content)
        self._unwritten = content[written:]
        return len(text)

    def flush(self) -> None:
        """Do nothing, since no line is buffered for later."""


def configure_logs(level: str, stream: TextIO = sys.stderr) -> None:
    """Configure structlog to write lines of JSON.

    Args:
        level: lowest severity that is written.
        stream: stream whose descriptor the lines are written to.
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
