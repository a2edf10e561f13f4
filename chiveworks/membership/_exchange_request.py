"""Request of the `Exchange` RPC."""

from dataclasses import dataclass

from chiveworks.base import Revision
from chiveworks.membership._owner_record import OwnerRecord
from chiveworks.membership._peer_status import PeerStatus


@dataclass(frozen=True, slots=True)
class ExchangeRequest:
    """Status of the caller and the data that it requests.

    Attributes:
        status: Status of the caller.
        complete_after: None requests the changes after `status.revision`. A number
            requests all items above it, starting with 0 in the first round.
        owners: The caller's owner table, sent after a reply whose digest differs.
    """

    status: PeerStatus
    complete_after: Revision | None = None
    owners: tuple[OwnerRecord, ...] = ()
