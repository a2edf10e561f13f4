"""Fields that every log line of an operation carries."""

import contextlib
import contextvars
import dataclasses
import logging
from collections.abc import Iterator


@dataclasses.dataclass(frozen=True, slots=True)
class LogFields:
    """What a log line is about; empty fields are left out.

    Attributes:
        request: Id of the caller's request.
        job: Id of the job.
        zone: Availability zone that is meant; that of the process when empty.
        peer: Address or name of the other side.
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
    """Adds fields to the log lines of the current asynchronous task."""
    given = LogFields(request, job, zone, peer, step)
    known = {name: text for name in FIELD_NAMES if (text := getattr(given, name))}
    token = _CURRENT.set(dataclasses.replace(_CURRENT.get(), **known))
    try:
        yield
    finally:
        _CURRENT.reset(token)


class FieldFilter(logging.Filter):
    """Copies the current fields into records; `extra` of a call takes precedence."""

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
