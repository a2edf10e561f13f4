"""Request of an exchange between peers."""

from dataclasses import dataclass

from chiveworks.base import Revision
from chiveworks.membership._owner_record import OwnerRecord
from chiveworks.membership._peer_status import PeerStatus


@dataclass(frozen=True, slots=True)
class ExchangeRequest:
    """The caller's state, and what it wants.

    Attributes:
        status: State of the caller.
        complete_after: None asks for the changes after `status.revision`; a number
            for everything above it, 0 in the first round.
        owners: The caller's owner table, once digests were found to differ.
    """

    status: PeerStatus
    complete_after: Revision | None = None
    owners: tuple[OwnerRecord, ...] = ()
