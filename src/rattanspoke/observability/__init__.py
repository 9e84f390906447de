"""What operators see of a host: log lines and metrics."""

from ._logs import configure_logs
from ._metrics import render_metrics

__all__ = ('configure_logs', 'render_metrics')
