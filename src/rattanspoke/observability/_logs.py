"""Log lines as JSON on a stream; a full stream drops lines and never blocks."""

import sys
from typing import TextIO

import structlog


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
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(stream),
    )
