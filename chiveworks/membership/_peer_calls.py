"""Interface of the RPCs that propagate the configuration."""

from typing import Protocol

from result import Result

from chiveworks.base import Failure
from chiveworks.membership._config_push import ConfigPush
from chiveworks.membership._exchange_reply import ExchangeReply
from chiveworks.membership._exchange_request import ExchangeRequest


class PeerCalls(Protocol):
    """The methods of `PeerPool` that propagate the configuration."""

    def failing_addresses(self) -> frozenset[str]:
        """Returns the addresses of peers that are currently failing."""

    async def exchange(
        self, address: str, request: ExchangeRequest
    ) -> Result[ExchangeReply, Failure]:
        """Exchanges state with a peer."""

    async def push(self, address: str, push: ConfigPush) -> Result[None, Failure]:
        """Pushes configuration changes to a peer."""
