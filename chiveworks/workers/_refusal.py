"""Refusal of a command by a worker."""

from dataclasses import dataclass
from enum import Enum

from chiveworks.base import Epoch


class RefusalReason(str, Enum):
    """Why a worker refused a command. A refused command has no effect."""

    STALE_EPOCH = 'stale_epoch'
    STALE_TICKET = 'stale_ticket'
    NOT_LEASED = 'not_leased'
    ALREADY_STARTED = 'already_started'
    REFUSED = 'refused'
    UNKNOWN_TASK = 'unknown_task'


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refused command.

    Attributes:
        reason: Why it was refused.
        epoch: Highest epoch that the worker has seen.
        message: Explanation; may be empty.
    """

    reason: RefusalReason
    epoch: Epoch
    message: str = ''
