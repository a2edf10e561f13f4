"""Context fields that are added to every log line of an operation."""

import contextlib
import contextvars
import dataclasses
import logging
from collections.abc import Iterator


@dataclasses.dataclass(frozen=True, slots=True)
class LogFields:
    """Context of a log line; empty fields are omitted.

    Attributes:
        request: Id of the request.
        job: Id of the job.
        zone: Availability zone concerned; that of the process if empty.
        peer: Address or name of the remote side.
        step: Step of the operation.
    """

    request: str = ''
    job: str = ''
    zone: str = ''
    peer: str = ''
    step: str = ''


FIELD_NAMES = tuple(field.name for field in dataclasses.fields(LogFields))

_CURRENT = contextvars.ContextVar('chiveworks_log_fields', default=LogFields())


@contextlib.contextmanager
def log_fields(
    *, request: str = '', job: str = '', zone: str = '', peer: str = '', step: str = ''
) -> Iterator[None]:
    """Adds fields to the log lines of the current asyncio task."""
    added = LogFields(request, job, zone, peer, step)
    non_empty = {name: text for name in FIELD_NAMES if (text := getattr(added, name))}
    token = _CURRENT.set(dataclasses.replace(_CURRENT.get(), **non_empty))
    try:
        yield
    finally:
        _CURRENT.reset(token)


class FieldFilter(logging.Filter):
    """Adds the context fields to records; `extra` of a log call takes precedence."""

    def __init__(self, zone: str) -> None:
        super().__init__()
        self._zone = zone

    def filter(self, record: logging.LogRecord) -> bool:
        """Adds the fields; never drops a record."""
        current = _CURRENT.get()
        for name in FIELD_NAMES:
            text = getattr(current, name)
            if text and not hasattr(record, name):
                setattr(record, name, text)
        if self._zone and not hasattr(record, 'zone'):
            record.zone = self._zone
        return True
