"""Setup of JSON logging."""

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from chiveworks.telemetry._log_context import FieldFilter


def setup_logging(level: str, zone: str = '', stream: TextIO | None = None) -> None:
    """Writes all logs to `stream`, as one JSON object per line.

    Args:
        level: `debug`, `info`, `warning` or `error`.
        zone: Zone of the process, for lines without a zone of their own.
        stream: Output stream; the standard error stream if None.
    """
    formatter = JsonFormatter(
        '{asctime}{levelname}{name}{message}',
        style='{',
        datefmt='%Y-%m-%dT%H:%M:%S%z',
        rename_fields={'asctime': 'at', 'levelname': 'level', 'name': 'logger'},
    )
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(formatter)
    handler.addFilter(FieldFilter(zone))
    root = logging.getLogger()
    for old_handler in tuple(root.handlers):
        root.removeHandler(old_handler)
    root.addHandler(handler)
    root.setLevel(level.upper())
