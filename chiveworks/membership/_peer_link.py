"""Connection to one peer that is reopened after failures."""

import asyncio
from contextlib import AsyncExitStack
from datetime import timedelta
from typing import Any

import grpc
from result import Err, Ok, Result

from chiveworks.base import Clock, Failure, Step
from chiveworks.membership._backoff import Backoff
from chiveworks.membership._call_failure import call_failure
from chiveworks.membership._connection import Connection
from chiveworks.membership._with_timeout import with_timeout

_CONNECT_TIMEOUT = timedelta(seconds=1)
#: Time for calls in progress to finish on a channel that was replaced.
_REPLACED_CHANNEL_GRACE_S = 10
_ConnectResult = Result[Connection, Failure]


class PeerLink:
    """Owns the channel to one peer; `run` is its only task.

    The first call opens the channel. It is replaced when its connection is lost or a
    call on it fails. After a failed connection attempt, or a connection on which no
    call succeeded, calls fail immediately as *not run* until the backoff allows the
    next attempt.
    """

    def __init__(self, address: str, clock: Clock, backoff: Backoff) -> None:
        self._address = address
        self._clock = clock
        self._backoff = backoff
        self._requested = asyncio.Event()
        self._discarded = asyncio.Event()
        self._connection_future = _new_connection_future()
        self._last_use = clock.monotonic()

    @property
    def last_use(self) -> timedelta:
        """Monotonic time of the last call."""
        return self._last_use

    @property
    def is_failing(self) -> bool:
        """Whether an attempt has failed and no call has succeeded since."""
        return self._backoff.failures > 0

    async def run(self) -> None:
        """Opens, monitors and replaces the channel until cancelled."""
        try:
            async with asyncio.TaskGroup() as closing:
                while True:
                    await self._requested.wait()
                    await self._run_connection(closing)
        finally:
            self._set_connect_result(Err(self._connect_failure('the peer was removed')))

    async def call(
        self, method: str, message: Any, timeout: timedelta
    ) -> Result[Any, Failure]:
        """Calls the peer.

        Returns:
            The reply message, or a failure: *not run* if there was no connection,
            *outcome unknown* if the request may have been sent.
        """
        self._last_use = self._clock.monotonic()
        match await self._acquire():
            case Ok(connection):
                return await self._call_on(connection, method, message, timeout)
            case Err(failure):
                return Err(failure)

    async def _call_on(
        self, connection: Connection, method: str, message: Any, timeout: timedelta
    ) -> Result[Any, Failure]:
        invoke = getattr(connection.stub, method)
        try:
            reply = await invoke(message, timeout=timeout.total_seconds())
        except grpc.aio.AioRpcError as error:
            self._discard(connection)
            return Err(call_failure(error, method, self._address))
        except asyncio.CancelledError:
            # gRPC also raises this if the channel is closed during a call.
            if _is_cancelled():
                raise
            closed_message = f'{method} was in progress when the connection was closed'
            return Err(Failure.unknown(Step.READ, self._address, closed_message))
        connection.has_succeeded = True
        self._backoff.reset()
        return Ok(reply)

    async def _acquire(self) -> _ConnectResult:
        for _ in range(2):
            if not self._connection_future.done():
                self._requested.set()
            outcome = await asyncio.shield(self._connection_future)
            if outcome.is_err() or outcome.unwrap().is_ready:
                return outcome
            self._discard(outcome.unwrap())
        return Err(self._connect_failure('the connection was lost'))

    def _discard(self, connection: Connection) -> None:
        outcome = (
            self._connection_future.result() if self._connection_future.done() else None
        )
        if outcome is not None and outcome.ok() is connection:
            self._connection_future = _new_connection_future()
            self._discarded.set()

    async def _run_connection(self, closing: asyncio.TaskGroup) -> None:
        connect_failure: Failure | None = None
        async with AsyncExitStack() as stack:
            connection = Connection.open(self._address)
            stack.push_async_callback(connection.channel.close)
            connect_failure = await self._connect(connection)
            if connect_failure is None:
                await self._hold_until_lost(connection)
                # Closed in the background, so that calls that are still in progress
                # on the channel do not delay its replacement.
                stack.pop_all()
                closing.create_task(connection.channel.close(_REPLACED_CHANNEL_GRACE_S))
                if not connection.has_succeeded:
                    connect_failure = self._connect_failure(
                        'no call succeeded on the last connection'
                    )
        if connect_failure is not None:
            await self._back_off(connect_failure)

    async def _connect(self, connection: Connection) -> Failure | None:
        try:
            is_open = await with_timeout(
                self._clock, _CONNECT_TIMEOUT, connection.connect()
            )
        except TimeoutError:
            return self._connect_failure('no connection within 1 s')
        return None if is_open else self._connect_failure('the connection was refused')

    async def _hold_until_lost(self, connection: Connection) -> None:
        self._discarded.clear()
        self._requested.clear()
        self._set_connect_result(Ok(connection))
        lost = asyncio.ensure_future(connection.wait_until_disconnected())
        discarded = asyncio.ensure_future(self._discarded.wait())
        try:
            await asyncio.wait({lost, discarded}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            lost.cancel()
            discarded.cancel()
            self._discard(connection)

    async def _back_off(self, connect_failure: Failure) -> None:
        self._requested.clear()
        self._set_connect_result(Err(connect_failure))
        await self._clock.sleep(self._backoff.next_delay())
        self._connection_future = _new_connection_future()

    def _set_connect_result(self, outcome: _ConnectResult) -> None:
        if not self._connection_future.done():
            self._connection_future.set_result(outcome)

    def _connect_failure(self, message: str) -> Failure:
        return Failure.not_run(Step.CONNECT, self._address, message)


def _new_connection_future() -> 'asyncio.Future[_ConnectResult]':
    return asyncio.get_running_loop().create_future()


def _is_cancelled() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
