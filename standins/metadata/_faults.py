"""Faults of the metadata store that tests can inject."""

from dataclasses import dataclass


@dataclass(slots=True)
class MetadataFaults:
    """Faults that apply to the next calls.

    Attributes:
        refuse: Whether every call is refused before it has any effect.
        lose_answers: Number of transactions that are applied but whose responses are
            lost.
        delay_writes: Number of transactions that get no response and are applied
            only when `apply_delayed` is called.
        compact: Whether the next watch reports that its history was compacted.
    """

    refuse: bool = False
    lose_answers: int = 0
    delay_writes: int = 0
    compact: bool = False
