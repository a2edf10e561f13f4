"""Reply of the `Exchange` RPC."""

from dataclasses import dataclass

from chiveworks.membership._config_page import ConfigPage
from chiveworks.membership._owner_record import OwnerRecord
from chiveworks.membership._peer_status import PeerStatus


@dataclass(frozen=True, slots=True)
class ExchangeReply:
    """Status of the called peer and the data that the caller lacks.

    Attributes:
        status: Status of the called peer.
        page: Configuration items that the caller lacks.
        owners: The owner table if the digests differ, else empty.
    """

    status: PeerStatus
    page: ConfigPage = ConfigPage()
    owners: tuple[OwnerRecord, ...] = ()
