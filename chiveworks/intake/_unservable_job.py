"""Outcome of a submission that no worker could ever run."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UnservableJob:
    """The job was not stored, since no worker can run it.

    Attributes:
        reason: Why no worker can.
    """

    reason: str
