"""Faults of the metadata store that tests switch on."""

from dataclasses import dataclass


@dataclass(slots=True)
class MetadataFaults:
    """What goes wrong with the next calls.

    Attributes:
        refuse: Whether every call is refused before it does anything.
        lose_answers: Number of transactions that are applied and not answered.
        delay_writes: Number of transactions that are neither applied nor answered
            until `apply_delayed` is called.
        compact: Whether the next watch reports lost history.
    """

    refuse: bool = False
    lose_answers: int = 0
    delay_writes: int = 0
    compact: bool = False
