"""State read back from the store."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Replay:
    """Changes that rebuild the shard's state, snapshot first.

    Attributes:
        changes: Encoded changes in order.
        number: Number of the last record.
    """

    changes: tuple[bytes, ...]
    number: int
