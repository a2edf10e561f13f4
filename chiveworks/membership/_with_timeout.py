"""Timeout for an awaitable, measured by the injected clock."""

import asyncio
from collections.abc import Awaitable
from datetime import timedelta
from typing import TypeVar

from chiveworks.base import Clock

_Result = TypeVar('_Result')


async def with_timeout(
    clock: Clock, limit: timedelta, call: Awaitable[_Result]
) -> _Result:
    """Returns the result of `call`, which is cancelled after `limit`.

    Raises:
        TimeoutError: `call` did not finish within `limit`.
    """
    task = asyncio.ensure_future(call)
    timer = asyncio.ensure_future(clock.sleep(limit))
    try:
        await asyncio.wait({task, timer}, return_when=asyncio.FIRST_COMPLETED)
    finally:
        timer.cancel()
        if not task.done():
            task.cancel()
    if task.done() and not task.cancelled():
        return task.result()
    raise TimeoutError
