"""Timeout for an awaitable, measured by the injected clock."""

import asyncio
from collections.abc import Awaitable
from datetime import timedelta
from typing import TypeVar

from chiveworks.base import Clock

_Answer = TypeVar('_Answer')


async def with_timeout(
    clock: Clock, limit: timedelta, call: Awaitable[_Answer]
) -> _Answer:
    """Returns the result of `call`, which is cancelled after `limit`.

    Raises:
        TimeoutError: `call` did not finish within `limit`.
    """
    answer = asyncio.ensure_future(call)
    timer = asyncio.ensure_future(clock.sleep(limit))
    try:
        await asyncio.wait({answer, timer}, return_when=asyncio.FIRST_COMPLETED)
    finally:
        timer.cancel()
        if not answer.done():
            answer.cancel()
    if answer.done() and not answer.cancelled():
        return answer.result()
    raise TimeoutError
