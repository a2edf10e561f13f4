"""Streaming of the remaining body of a large response."""

import asyncio
from collections.abc import Callable

import aiohttp

from chiveworks.routing._attempt_end import AttemptEnd
from chiveworks.routing._attempt_error import AttemptError
from chiveworks.routing._lease import Lease


class ResponseStream:
    """Iterates over the parts of a response body and holds its slot until the end.

    Args:
        response: The response, the first part of whose body has been read.
        lease: Lease of the endpoint, released at the end.
        time_left: Returns the seconds until the request's deadline.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        lease: Lease,
        time_left: Callable[[], float],
    ) -> None:
        self._response = response
        self._lease = lease
        self._time_left = time_left

    def __aiter__(self) -> 'ResponseStream':
        return self

    async def __anext__(self) -> bytes:
        try:
            async with asyncio.timeout(max(self._time_left(), 0)):
                part = await self._response.content.readany()
        except TimeoutError as error:
            await self.aclose()
            raise AttemptError(AttemptEnd.READ_TIMEOUT) from error
        except (aiohttp.ClientError, OSError) as error:
            await self.aclose()
            raise AttemptError(AttemptEnd.TRUNCATED, str(error)) from error
        except BaseException:
            await self.aclose()
            raise
        if not part:
            self._response.release()
            self._lease.release()
            raise StopAsyncIteration
        return part

    async def aclose(self) -> None:
        """Ends the iteration early and closes the connection instead of reusing it."""
        self._response.close()
        self._lease.release()
