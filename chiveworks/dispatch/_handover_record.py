"""Stored form of the times that outlive a leadership term."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Final

import msgpack

from chiveworks.base import JobId, WorkerId
from chiveworks.workflow import TaskRef

_MILLISECOND: Final = timedelta(milliseconds=1)
#: Highest time in a record: a day. Quarantines and stalls take seconds.
_MAX_MS: Final = 86_400_000
_DECODE_ERRORS: Final = (
    TypeError,
    LookupError,
    ValueError,
    OverflowError,
    msgpack.UnpackException,
)


@dataclass(frozen=True, slots=True)
class Quarantine:
    """Time for which a worker gets no work.

    Attributes:
        left: Rest of the quarantine.
        failure_streak: Failed runs since the last successful run.
    """

    left: timedelta
    failure_streak: int


@dataclass(frozen=True, slots=True)
class Stall:
    """Time for which a run has made no progress.

    Attributes:
        attempt: Number of the run.
        percent: Progress at which it stands.
        duration: Time without progress.
    """

    attempt: int
    percent: int
    duration: timedelta


@dataclass(frozen=True, slots=True)
class Wait:
    """Time for which a task has waited for a worker.

    Attributes:
        attempt: Number of its last run.
        duration: Time since it began to wait.
    """

    attempt: int
    duration: timedelta


@dataclass(frozen=True, slots=True)
class HandoverRecord:
    """Times relative to the moment of the record.

    Attributes:
        job_ages: Time for which jobs of which no task has begun have waited.
        quarantines: Quarantined workers.
        stalls: Runs without recent progress.
        waits: Interrupted lasting tasks that wait for a worker.
    """

    job_ages: Mapping[JobId, timedelta] = field(default_factory=dict)
    quarantines: Mapping[WorkerId, Quarantine] = field(default_factory=dict)
    stalls: Mapping[TaskRef, Stall] = field(default_factory=dict)
    waits: Mapping[TaskRef, Wait] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Encodes the record for the store."""
        packed: bytes = msgpack.packb(
            {
                'ages': {job: _to_ms(age) for job, age in self.job_ages.items()},
                'quarantines': [
                    (worker, _to_ms(each.left), each.failure_streak)
                    for worker, each in self.quarantines.items()
                ],
                'stalls': [
                    (*ref, each.attempt, each.percent, _to_ms(each.duration))
                    for ref, each in self.stalls.items()
                ],
                'waits': [
                    (*ref, each.attempt, _to_ms(each.duration))
                    for ref, each in self.waits.items()
                ],
            }
        )
        return packed


def decode_handover(stored: bytes) -> HandoverRecord:
    """Decodes a record.

    Raises:
        ValueError: The bytes are not such a record.
    """
    try:
        fields = msgpack.unpackb(stored)
        return HandoverRecord(
            {JobId(str(job)): _from_ms(age) for job, age in fields['ages'].items()},
            dict(map(_decode_quarantine, fields['quarantines'])),
            dict(map(_decode_stall, fields['stalls'])),
            # A record of an earlier version has none.
            dict(map(_decode_wait, fields.get('waits', ()))),
        )
    except _DECODE_ERRORS as error:
        raise ValueError(f'the handover cannot be read: {error!r}') from error
    except AttributeError as error:
        raise ValueError('the ages of the handover are not a map') from error


def _decode_quarantine(row: Any) -> tuple[WorkerId, Quarantine]:
    worker, left_ms, streak = row
    return WorkerId(str(worker)), Quarantine(_from_ms(left_ms), int(streak))


def _decode_stall(row: Any) -> tuple[TaskRef, Stall]:
    job, *numbers, duration_ms = row
    occurrence, step, position, attempt, percent = map(int, numbers)
    ref = TaskRef(JobId(str(job)), occurrence, step, position)
    return ref, Stall(attempt, percent, _from_ms(duration_ms))


def _decode_wait(row: Any) -> tuple[TaskRef, Wait]:
    job, *numbers, duration_ms = row
    occurrence, step, position, attempt = map(int, numbers)
    ref = TaskRef(JobId(str(job)), occurrence, step, position)
    return ref, Wait(attempt, _from_ms(duration_ms))


def _to_ms(duration: timedelta) -> int:
    return max(duration // _MILLISECOND, 0)


def _from_ms(number: float) -> timedelta:
    # The comparison is also false for NaN.
    if not 0 <= number <= _MAX_MS:
        raise ValueError(f'a time is not from 0 to {_MAX_MS} ms')
    return number * _MILLISECOND
