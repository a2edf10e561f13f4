"""Client on whose behalf a call is made."""

from dataclasses import dataclass

from chiveworks.base import AccountName
from chiveworks.workflow import (
    JobOwner,
    JobState,
    Submission,
    Tombstone,
    decode_final_owner,
)


@dataclass(frozen=True, slots=True)
class Caller:
    """Client account of a call, in a deployment that has accounts.

    Attributes:
        account: Name of the account; empty on a public route.
        queue: Name of the queue that the route of the call belongs to.
    """

    account: AccountName
    queue: str

    def may_use(self, record: Submission | JobState | Tombstone, stored: bytes) -> bool:
        """Whether a call may concern a job.

        A job whose record states no account may be used by anybody, and a job of a queue
        that is public by now by all callers of its route, since they need no key.

        Args:
            record: Decoded record of the job.
            stored: The record as stored.
        """
        owner = _owner_of(record, stored)
        if not owner.account or owner.account == self.account:
            return True
        return not self.account and owner.queue == self.queue


def _owner_of(record: Submission | JobState | Tombstone, stored: bytes) -> JobOwner:
    if isinstance(record, Submission):
        return record.owner
    if isinstance(record, JobState):
        return decode_final_owner(stored)
    return JobOwner()
