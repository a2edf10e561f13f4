"""What answers exchanges and pushes."""

from typing import Protocol

from chiveworks.membership._config_push import ConfigPush
from chiveworks.membership._exchange_reply import ExchangeReply
from chiveworks.membership._exchange_request import ExchangeRequest


class ExchangeHandler(Protocol):
    """Receiving side of the spreading of configuration."""

    def answer_exchange(self, request: ExchangeRequest) -> ExchangeReply:
        """Answers a peer's exchange."""

    def accept_push(self, push: ConfigPush) -> None:
        """Takes changes that a peer has pushed."""
