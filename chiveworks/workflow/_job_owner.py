"""Whom a job belongs to."""

from dataclasses import dataclass

from chiveworks.base import AccountName


@dataclass(frozen=True, slots=True)
class JobOwner:
    """Client account and queue of a job.

    Attributes:
        account: Account that submitted the job; empty if it has none or if its record
            does not state it.
        queue: Name of the job's queue; may be empty if the account is.
    """

    account: AccountName = AccountName('')
    queue: str = ''
