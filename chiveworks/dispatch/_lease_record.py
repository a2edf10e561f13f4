"""Stored form of how long the leases of workers still run."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from math import ceil
from typing import Any, Final

import msgpack

from chiveworks.base import Epoch, WorkerId

# Raised by MessagePack, and by the conversion of values of other types.
_DECODE_ERRORS: Final = (
    TypeError,
    AttributeError,
    ValueError,
    OverflowError,
    msgpack.UnpackException,
)
_MILLISECOND: Final = timedelta(milliseconds=1)
#: Highest time left; leases take seconds.
_MAX_LEFT_MS: Final = 3_600_000
#: Highest age of a term: ten years.
_MAX_AGE_MS: Final = 315_360_000_000


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Times until leases have certainly lapsed, relative to the write of the record.

    Attributes:
        token: Fencing token of the term in which the record is written.
        times_left: Times by worker. Zero if the lease has lapsed.
        default_left: Time for all other workers, if the term has not extended their
            leases but briefly; None if it may have extended them in full.
        term_age: Time from before the beginning of the term to the write; None if unknown.
    """

    token: Epoch
    times_left: Mapping[WorkerId, timedelta] = field(default_factory=dict)
    default_left: timedelta | None = None
    term_age: timedelta | None = None

    def encode(self) -> bytes:
        """Encodes the record for the store; times are rounded up."""
        packed: bytes = msgpack.packb(
            (
                self.token,
                {
                    worker_id: _to_ms(left)
                    for worker_id, left in self.times_left.items()
                },
                None if self.default_left is None else _to_ms(self.default_left),
                None if self.term_age is None else _to_ms(self.term_age),
            )
        )
        return packed


def decode_leases(stored: bytes) -> LeaseRecord:
    """Decodes a record, or that of an earlier version, which has only the first two fields.

    Raises:
        ValueError: The bytes are not a record of leases.
    """
    try:
        return _decode(*msgpack.unpackb(stored))
    except _DECODE_ERRORS as error:
        raise ValueError(f'the record of leases cannot be read: {error!r}') from error


def _decode(
    token: Any,
    left_ms: Any,
    default_left_ms: Any = None,
    term_age_ms: Any = None,
) -> LeaseRecord:
    return LeaseRecord(
        Epoch(int(token)),
        {
            WorkerId(worker_id): _from_ms(left, _MAX_LEFT_MS)
            for worker_id, left in left_ms.items()
        },
        None if default_left_ms is None else _from_ms(default_left_ms, _MAX_LEFT_MS),
        None if term_age_ms is None else _from_ms(term_age_ms, _MAX_AGE_MS),
    )


def _to_ms(duration: timedelta) -> int:
    return max(ceil(duration / _MILLISECOND), 0)


def _from_ms(number: float, highest: int) -> timedelta:
    # The comparison is also false for NaN.
    if not 0 <= number <= highest:
        raise ValueError(f'a time is not from 0 to {highest} ms')
    return number * _MILLISECOND
