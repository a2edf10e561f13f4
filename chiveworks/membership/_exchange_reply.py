"""Answer of an exchange between peers."""

from dataclasses import dataclass

from chiveworks.membership._config_page import ConfigPage
from chiveworks.membership._owner_record import OwnerRecord
from chiveworks.membership._peer_status import PeerStatus


@dataclass(frozen=True, slots=True)
class ExchangeReply:
    """State of the called peer and what the caller lacks.

    Attributes:
        status: State of the called peer.
        page: Configuration items that the caller lacks.
        owners: The owner table when digests differ, else empty.
    """

    status: PeerStatus
    page: ConfigPage = ConfigPage()
    owners: tuple[OwnerRecord, ...] = ()
