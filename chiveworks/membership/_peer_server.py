"""gRPC server of an entry process."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from types import SimpleNamespace, TracebackType
from typing import Any

import grpc
from result import Err, Result

from chiveworks.base import Failure, Step, Verdict, ZoneName
from chiveworks.membership import peer_pb2, peer_pb2_grpc
from chiveworks.membership._channel_options import SERVER_OPTIONS
from chiveworks.membership._exchange_handler import ExchangeHandler
from chiveworks.membership._failure_reason import FailureReason
from chiveworks.membership._local_shard import LocalShard
from chiveworks.membership._owner_table import OwnerTable
from chiveworks.membership._shard_failure import ShardFailure
from chiveworks.membership._shard_operation import ShardOperation
from chiveworks.membership._shard_operations import ALL_OPERATIONS
from chiveworks.membership._wire_exchange import (
    push_from_wire,
    reply_to_wire,
    request_from_wire,
)

_LOG = logging.getLogger(__name__)
_STOP_GRACE = timedelta(seconds=5)
_Method = Callable[[Any, Any], Awaitable[Any]]


class PeerServer:
    """Serves the `Peer` RPCs on one address; an asynchronous context manager.

    A shard call that has started runs to completion even if the caller gives up,
    because the shard's owner must not stop between two writes.
    """

    def __init__(
        self,
        address: str,
        exchanges: ExchangeHandler,
        shard: LocalShard,
        owners: OwnerTable,
        stop_grace: timedelta = _STOP_GRACE,
    ) -> None:
        self._address = address
        self._exchanges = exchanges
        self._shard = shard
        self._owners = owners
        self._stop_grace = stop_grace
        self._server: Any = None
        self._running: set[asyncio.Task[Any]] = set()

    async def __aenter__(self) -> 'PeerServer':
        """Starts the server.

        Raises:
            RuntimeError: The address cannot be bound.
        """
        self._server = grpc.aio.server(options=SERVER_OPTIONS)
        peer_pb2_grpc.add_PeerServicer_to_server(
            SimpleNamespace(**self._methods()), self._server
        )
        self._server.add_insecure_port(self._address)
        await self._server.start()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops the server.

        Calls in progress get `stop_grace` to reply; shard calls run to completion.
        """
        await self._server.stop(self._stop_grace.total_seconds())
        if self._running:
            await asyncio.wait(self._running)

    def _methods(self) -> dict[str, _Method]:
        methods = {
            operation.method: self._shard_method(operation)
            for operation in ALL_OPERATIONS
        }
        return {'Exchange': self._exchange, 'Push': self._push, **methods}

    async def _exchange(self, message: Any, _context: Any) -> Any:
        request = request_from_wire(message)
        return reply_to_wire(self._exchanges.answer_exchange(request))

    async def _push(self, message: Any, _context: Any) -> Any:
        self._exchanges.accept_push(push_from_wire(message))
        return peer_pb2.PushReply()

    def _shard_method(self, operation: ShardOperation[Any, Any]) -> _Method:
        async def method(message: Any, _context: Any) -> Any:
            call = asyncio.ensure_future(self._run(operation, message))
            self._running.add(call)
            call.add_done_callback(self._running.discard)
            return operation.encode_result(await asyncio.shield(call))

        return method

    async def _run(
        self, operation: ShardOperation[Any, Any], message: Any
    ) -> Result[Any, Failure]:
        zone = ZoneName(message.zone)
        handler = self._shard.handler_of(zone)
        if handler is None:
            return Err(
                ShardFailure.not_owner(self._address, self._owner_address_hint(zone))
            )
        try:
            request = operation.request_from_wire(message)
        except ValueError as error:
            return Err(Failure.not_run(Step.VALIDATE, self._address, str(error)))
        try:
            return await operation.invoke(handler, request)
        except Exception as error:
            _LOG.exception('shard call %s failed', operation.method)
            return Err(_internal_failure(self._address, error))

    def _owner_address_hint(self, zone: ZoneName) -> str:
        record = self._owners.find(zone)
        if record is None or record.peer_address == self._address:
            return ''
        return record.peer_address


def _internal_failure(address: str, error: Exception) -> ShardFailure:
    return ShardFailure(
        verdict=Verdict.OUTCOME_UNKNOWN,
        step=Step.WAIT,
        peer=address,
        message=f'the handler raised {type(error).__name__}',
        reason=FailureReason.INTERNAL,
    )
