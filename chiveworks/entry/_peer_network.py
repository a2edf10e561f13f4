"""Connections of an entry process to the other entry processes."""

from contextlib import AsyncExitStack
from dataclasses import dataclass
from random import Random

from chiveworks.base import Clock
from chiveworks.entry._platform import Platform
from chiveworks.instances import InstanceSnapshot
from chiveworks.membership import (
    ConfigFollower,
    ConfigSource,
    ConfigSync,
    LocalShard,
    OwnerTable,
    Peer,
    PeerDirectory,
    PeerExchange,
    PeerPool,
    PeerServer,
    ShardClient,
)
from chiveworks.settings import Settings


@dataclass(frozen=True, slots=True)
class PeerNetwork:
    """Components that communicate with the other entry processes."""

    own: Peer
    directory: PeerDirectory
    owners: OwnerTable
    local: LocalShard
    pool: PeerPool
    exchange: PeerExchange
    follower: ConfigFollower
    shards: ShardClient

    def update_instances(self, snapshot: InstanceSnapshot) -> None:
        """Adds and removes peers according to the instance list."""
        self.directory.update(snapshot.instances)
        self.pool.reconcile(peer.address for peer in self.directory.peers())

    async def announce_leaving(self) -> None:
        """Tells the peers that this process is shutting down."""
        self.exchange.is_draining = True
        await self.follower.announce()


async def open_peer_network(
    settings: Settings, platform: Platform, clock: Clock, stack: AsyncExitStack
) -> PeerNetwork:
    """Starts the gRPC server and the connections to peers; `stack` stops them.

    Raises:
        OSError: The gRPC address cannot be bound.
    """
    address = f'{settings.peer.host}:{settings.peer.port}'
    own = Peer(settings.entry_id, settings.zone, address)
    directory = PeerDirectory(own)
    owners = OwnerTable()
    local = LocalShard(settings.zone)
    pool = await stack.enter_async_context(PeerPool(clock, Random()))  # noqa: S311
    sync = ConfigSync(platform.replica)
    exchange = PeerExchange(own, sync, directory, owners, pool, clock)
    server = PeerServer(address, exchange, local, owners)
    try:
        await stack.enter_async_context(server)
    except RuntimeError as error:
        # grpc raises RuntimeError when the address cannot be bound.
        raise OSError(f'cannot listen for peers on {address}') from error
    follower = ConfigFollower(
        exchange,
        ConfigSource(platform.store, sync, clock),
        lambda: local.is_owned,
        clock,
        Random(),  # noqa: S311
    )
    shards = ShardClient(local, owners, pool)
    return PeerNetwork(own, directory, owners, local, pool, exchange, follower, shards)
