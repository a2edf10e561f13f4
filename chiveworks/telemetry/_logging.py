"""JSON logs on the standard error stream."""

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from chiveworks.telemetry._log_context import FieldFilter


def setup_logging(level: str, zone: str = '', stream: TextIO | None = None) -> None:
    """Sends all logs as one JSON object a line to `stream`.

    Args:
        level: `debug`, `info`, `warning` or `error`.
        zone: Zone of the process, for lines that name no other.
        stream: Where to write; the standard error stream when None.
    """
    formatter = JsonFormatter(
        '{asctime}{levelname}{name}{message}',
        style='{',
        datefmt='%Y-%m-%dT%H:%M:%S%z',
        rename_fields={'asctime': 'at', 'levelname': 'level', 'name': 'logger'},
    )
    target = logging.StreamHandler(stream or sys.stderr)
    target.setFormatter(formatter)
    target.addFilter(FieldFilter(zone))
    root = logging.getLogger()
    for former in tuple(root.handlers):
        root.removeHandler(former)
    root.addHandler(target)
    root.setLevel(level.upper())
