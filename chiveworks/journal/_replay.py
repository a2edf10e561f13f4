"""Result of reading the journal."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Replay:
    """Changes that rebuild the shard's state: the snapshot's, then the records'.

    Attributes:
        changes: Encoded changes, in order.
        number: Number of the last record.
    """

    changes: tuple[bytes, ...]
    number: int
