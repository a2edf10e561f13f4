"""Reliable cancellation of asyncio tasks."""

import asyncio
import contextlib
from collections.abc import Iterable
from datetime import timedelta
from typing import Any, Final

#: Interval at which tasks that have not ended are cancelled again.
CANCEL_RETRY_INTERVAL: Final = timedelta(milliseconds=100)


async def cancel_all(tasks: Iterable['asyncio.Task[Any]']) -> None:
    """Cancels tasks repeatedly until all of them have ended.

    A single cancellation is not enough: if it coincides with the timeout of a
    call, an HTTP client reports that timeout instead and the task continues.

    Args:
        tasks: Tasks to cancel. Their exceptions are discarded; code that needs
            them reads them in a done callback.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            # uvloop raises from the cancellation of a connection attempt if a transport
            # uses its file descriptor; the task is cancelled again after the interval.
            with contextlib.suppress(RuntimeError):
                task.cancel()
        ended, pending = await asyncio.wait(
            pending, timeout=CANCEL_RETRY_INTERVAL.total_seconds()
        )
        for task in ended:
            if not task.cancelled():
                task.exception()
