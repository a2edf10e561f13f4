"""Mapping of a shard operation to an RPC."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from result import Err, Ok, Result

from chiveworks.base import Failure
from chiveworks.membership._shard_handler import ShardHandler
from chiveworks.membership._wire_failures import failure_from_wire, failure_to_wire

Request = TypeVar('Request')
Reply = TypeVar('Reply')


@dataclass(frozen=True)
class ShardOperation(Generic[Request, Reply]):
    """Maps an RPC to a `ShardHandler` method and converts its messages.

    Attributes:
        method: Name of the RPC.
        request_to_wire: Converts the request to protobuf, without the zone.
        request_from_wire: Converts the request from protobuf.
        reply_to_wire: Converts a successful reply to protobuf.
        reply_from_wire: Converts a successful reply from protobuf.
        reply_type: Message class of the reply.
        invoke: Calls the handler's method.
    """

    method: str
    request_to_wire: Callable[[Request], Any]
    request_from_wire: Callable[[Any], Request]
    reply_to_wire: Callable[[Reply], Any]
    reply_from_wire: Callable[[Any], Reply]
    reply_type: Any
    invoke: Callable[[ShardHandler, Request], Awaitable[Result[Reply, Failure]]]

    def encode_result(self, result: Result[Reply, Failure]) -> Any:
        """Converts a result to the reply message."""
        match result:
            case Ok(reply):
                return self.reply_to_wire(reply)
            case Err(failure):
                return self.encode_failure(failure)

    def encode_failure(self, failure: Failure) -> Any:
        """Converts a failure to the reply message."""
        return self.reply_type(failure=failure_to_wire(failure))

    def decode_result(self, message: Any) -> Result[Reply, Failure]:
        """Converts the reply message to a result.

        Raises:
            ValueError: The message has enum values unknown to this version.
        """
        if message.HasField('failure'):
            return Err(failure_from_wire(message.failure))
        return Ok(self.reply_from_wire(message))
