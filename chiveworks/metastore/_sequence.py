"""Content of the sequence key, which every write of a leader changes."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Final

import msgpack

from chiveworks.base import Epoch
from chiveworks.metastore._last_writer import LastWriter
from chiveworks.metastore._metadata_store import StoreItem

# Raised by MessagePack, and if the content is not as expected.
_DECODE_ERRORS: Final = (
    TypeError,
    ValueError,
    OverflowError,
    msgpack.UnpackException,
)
_MILLISECOND: Final = timedelta(milliseconds=1)


@dataclass(frozen=True, slots=True)
class SequenceState:
    """What the sequence key says of the last term that has written.

    Attributes:
        token: Fencing token of that term; 0 if there was none.
        acquired_by: Token of a later term, which has begun and not written; None if
            there is none.
        since_begin: Minimum time from the beginning of the term to that of the later one.
        since_end: Minimum time from its end to the beginning of the later one; None if
            a process of an earlier version may have extended leases in between.
    """

    token: Epoch
    acquired_by: Epoch | None = None
    since_begin: timedelta = timedelta()
    since_end: timedelta | None = None


def encode_sequence(token: Epoch, number: int) -> bytes:
    """Encodes the number of a write within the term with the given token."""
    packed: bytes = msgpack.packb((token, number))
    return packed


def encode_acquisition(
    last_writer: LastWriter, leader_value: str, now: timedelta
) -> bytes:
    """Encodes the beginning of a term, which takes the sequence key.

    Args:
        last_writer: Last term that has written.
        leader_value: Text that is unique to the new term.
        now: Time before the beginning of the new term.
    """
    ended_at = last_writer.ended_at
    packed: bytes = msgpack.packb(
        (
            last_writer.token,
            leader_value,
            (now - last_writer.begun_at) // _MILLISECOND,
            None if ended_at is None else (now - ended_at) // _MILLISECOND,
        )
    )
    return packed


def decode_sequence(item: StoreItem) -> SequenceState:
    """Decodes the sequence key.

    A term that has only begun does not count as one that has written, except if a
    process of an earlier version began it: such a process stores its leader value alone,
    and may extend leases before its first write.
    """
    try:
        token, position, *times_ms = msgpack.unpackb(item.content or b'')
        if isinstance(position, int):
            return SequenceState(Epoch(int(token)))
        # An acquisition of an earlier version has no times.
        begin_ms, end_ms = times_ms or (0, None)
        return SequenceState(
            Epoch(int(token)),
            Epoch(item.revision),
            _check_time(begin_ms) * _MILLISECOND,
            None if end_ms is None else _check_time(end_ms) * _MILLISECOND,
        )
    except _DECODE_ERRORS:
        return SequenceState(Epoch(item.revision))


def _check_time(time_ms: float) -> float:
    # The comparison is also false for NaN.
    if not time_ms >= 0:
        raise ValueError('a time is negative')
    return time_ms
