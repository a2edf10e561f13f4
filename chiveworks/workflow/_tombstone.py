"""Record that keeps a job from being stored."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Tombstone:
    """The job was cancelled or refused before it was stored.

    The write of a submission requires that the key of the job does not exist. While the
    tombstone is in the store, such a write that the store applies late has no effect.

    Attributes:
        cancelled: Whether a client cancelled the job. Otherwise the job was refused,
            and a new submission may replace the tombstone.
    """

    cancelled: bool
