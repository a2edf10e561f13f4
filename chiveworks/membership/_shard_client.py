"""Client of the shards of all zones."""

from datetime import timedelta

from chiveworks.base import ZoneName
from chiveworks.membership._local_shard import LocalShard
from chiveworks.membership._owner_table import OwnerTable
from chiveworks.membership._peer_pool import PeerPool
from chiveworks.membership._shard_handler import ShardHandler
from chiveworks.membership._shard_proxy import ShardProxy

_TIMEOUT = timedelta(seconds=5)


class ShardClient:
    """Finds the owner of a zone's shard and calls it.

    While this process owns the shard, its handler is called directly. If a peer
    replies `not_owner` with the owner's address, the call is redirected once.
    """

    def __init__(self, local: LocalShard, owners: OwnerTable, pool: PeerPool) -> None:
        self._local = local
        self._owners = owners
        self._pool = pool

    def of_zone(self, zone: ZoneName, timeout: timedelta = _TIMEOUT) -> ShardHandler:
        """Returns a proxy for the shard of `zone`; `timeout` limits each RPC."""
        return ShardProxy(zone, self._local, self._owners, self._pool, timeout)
