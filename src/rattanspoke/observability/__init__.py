"""Log lines and metrics of a host."""

from ._logs import configure_logs
from ._metrics import render_metrics

__all__ = ('configure_logs', 'render_metrics')
