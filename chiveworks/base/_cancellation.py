"""Ends tasks for certain."""

import asyncio
from collections.abc import Iterable
from datetime import timedelta
from typing import Any, Final

#: Time after which a task that has not ended is cancelled again.
REPEAT_GAP: Final = timedelta(milliseconds=100)


async def cancel_all(tasks: Iterable['asyncio.Task[Any]']) -> None:
    """Cancels tasks until all of them have ended.

    One cancellation is not enough: HTTP clients take one that coincides with the
    timeout of a call for that timeout, and the task goes on.

    Args:
        tasks: Tasks to end; their errors are dropped, so whoever needs one reads it
            in a callback.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        ended, pending = await asyncio.wait(pending, timeout=REPEAT_GAP.total_seconds())
        for task in ended:
            if not task.cancelled():
                task.exception()
