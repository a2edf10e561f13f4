"""Interface of the handler of exchanges and pushes."""

from typing import Protocol

from chiveworks.membership._config_push import ConfigPush
from chiveworks.membership._exchange_reply import ExchangeReply
from chiveworks.membership._exchange_request import ExchangeRequest


class ExchangeHandler(Protocol):
    """Handles the RPCs by which peers propagate the configuration."""

    def answer_exchange(self, request: ExchangeRequest) -> ExchangeReply:
        """Handles an exchange that a peer has started."""

    def accept_push(self, push: ConfigPush) -> None:
        """Applies changes that a peer has pushed."""
