"""Content of the sequence key, which every write of a leader changes."""

from typing import Final

import msgpack

from chiveworks.base import Epoch
from chiveworks.metastore._metadata_store import StoreItem

# Raised by MessagePack, and if the content is not a pair.
_DECODE_ERRORS: Final = (TypeError, ValueError, msgpack.UnpackException)


def encode_sequence(token: Epoch, number: int) -> bytes:
    """Encodes the number of a write within the term with the given token."""
    packed: bytes = msgpack.packb((token, number))
    return packed


def encode_acquisition(last_writer: Epoch, leader_value: str) -> bytes:
    """Encodes the beginning of a term, which takes the sequence key.

    Args:
        last_writer: Token of the last term that has written.
        leader_value: Text that is unique to the new term.
    """
    packed: bytes = msgpack.packb((last_writer, leader_value))
    return packed


def last_token(item: StoreItem) -> Epoch:
    """Returns the token of the last term that has written; 0 if there was none.

    A term that has only begun does not count, except if a process of an earlier version
    began it: such a process stores its leader value alone, and may extend leases before
    its first write.
    """
    try:
        token, _write = msgpack.unpackb(item.content or b'')
    except _DECODE_ERRORS:
        return Epoch(item.revision)
    return Epoch(token)
