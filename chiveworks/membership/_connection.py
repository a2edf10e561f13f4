"""gRPC channel to a peer."""

from dataclasses import dataclass
from typing import Any

import grpc

from chiveworks.membership import peer_pb2_grpc
from chiveworks.membership._channel_options import CLIENT_OPTIONS


@dataclass(eq=False)
class Connection:
    """A channel with its stub.

    Attributes:
        channel: The gRPC channel.
        stub: Stub of the `Peer` service on the channel.
        has_succeeded: Whether a call on the channel has succeeded.
    """

    channel: Any
    stub: Any
    has_succeeded: bool = False

    @classmethod
    def open(cls, address: str) -> 'Connection':
        """Creates a channel without connecting it."""
        channel = grpc.aio.insecure_channel(address, options=CLIENT_OPTIONS)
        return cls(channel, peer_pb2_grpc.PeerStub(channel))

    @property
    def is_ready(self) -> bool:
        """Whether gRPC reports the channel as connected."""
        return self.channel.get_state() is grpc.ChannelConnectivity.READY

    async def connect(self) -> bool:
        """Connects; returns False if the attempt failed."""
        state = self.channel.get_state(try_to_connect=True)
        while state is not grpc.ChannelConnectivity.READY:
            if state is grpc.ChannelConnectivity.TRANSIENT_FAILURE:
                return False
            await self.channel.wait_for_state_change(state)
            state = self.channel.get_state(try_to_connect=True)
        return True

    async def wait_until_disconnected(self) -> None:
        """Waits until the channel is no longer connected."""
        await self.channel.wait_for_state_change(grpc.ChannelConnectivity.READY)
