"""A command that the worker refused."""

from dataclasses import dataclass
from enum import Enum

from chiveworks.base import Epoch


class RefusalReason(str, Enum):
    """Why a worker refused a command; it then had no effect."""

    STALE_EPOCH = 'stale_epoch'
    STALE_TICKET = 'stale_ticket'
    NOT_LEASED = 'not_leased'
    ALREADY_STARTED = 'already_started'
    REFUSED = 'refused'
    UNKNOWN_TASK = 'unknown_task'


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refused command and the highest epoch that the worker has seen."""

    reason: RefusalReason
    epoch: Epoch
    message: str = ''
