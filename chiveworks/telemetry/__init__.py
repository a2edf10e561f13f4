"""JSON logs and metrics."""

from chiveworks.telemetry._log_context import LogFields, log_fields
from chiveworks.telemetry._logging import setup_logging
from chiveworks.telemetry._metrics import METRICS_CONTENT_TYPE, Metrics

__all__ = (
    'METRICS_CONTENT_TYPE',
    'LogFields',
    'Metrics',
    'log_fields',
    'setup_logging',
)
