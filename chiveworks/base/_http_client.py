"""HTTP client for the platform, with time limits and exact failure verdicts."""

from dataclasses import dataclass
from datetime import timedelta

import aiohttp
from result import Err, Result
from yarl import URL

from chiveworks.base._failure import Failure
from chiveworks.base._http_outcome import (
    check_status,
    request_failure,
    unusable_response,
)
from chiveworks.base._http_response import HttpResponse
from chiveworks.base._step import Step

# Omitted because control traffic has a budget of 2 KB/s per instance.
_SKIPPED_HEADERS = ('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type')
# Timeouts are OSErrors. An address that does not form a URL raises ValueError.
_CALL_ERRORS = (aiohttp.ClientError, OSError, ValueError)


class _ResponseLostError(aiohttp.ClientError):
    """The connection broke after the request may have been sent."""


async def _send_once(
    request: aiohttp.ClientRequest, send: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    # After these errors aiohttp retries PUT and DELETE on its own. A retried
    # compare-and-swap would report a conflict with its own first write.
    try:
        return await send(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _ResponseLostError(str(error) or type(error).__name__) from error


@dataclass(frozen=True, slots=True)
class HttpClient:
    """Sends requests to one base URL.

    Attributes:
        session: Session; its owner closes it.
        base_url: Prefix of every URL.
        timeout: Total time limit of a request.
        connect_timeout: Time limit for obtaining a connection.
    """

    session: aiohttp.ClientSession
    base_url: str
    timeout: timedelta
    connect_timeout: timedelta

    async def call(
        self,
        method: str,
        path: str,
        step: Step,
        *,
        query: dict[str, str] | None = None,
        body: bytes | None = None,
        timeout: timedelta | None = None,
        writes: bool = True,
    ) -> Result[HttpResponse, Failure]:
        """Sends a request without retries and reads the whole response.

        Args:
            method: HTTP method.
            path: Path below the base URL.
            step: Step reported by failures after the connection was established.
            query: Query parameters.
            body: Request body.
            timeout: Total time limit of this request; the client's if None.
            writes: Whether the request has an effect. A failed read has none, so
                its verdict is always "not run".

        Returns:
            The response, or a failure if there is none or its status is 429 or 5xx.
        """
        limit = aiohttp.ClientTimeout(
            total=(timeout or self.timeout).total_seconds(),
            connect=self.connect_timeout.total_seconds(),
        )
        try:
            async with self.session.request(
                method,
                URL(self.base_url + path),
                params=query,
                data=body,
                timeout=limit,
                skip_auto_headers=_SKIPPED_HEADERS,
                middlewares=(_send_once,),
                allow_redirects=False,
            ) as response:
                http_response = HttpResponse(response.status, await response.read())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Err(
                Failure.not_run(Step.CONNECT, self.base_url, _describe_error(error))
            )
        except _CALL_ERRORS as error:
            return Err(self.failure(step, _describe_error(error), writes=writes))
        return check_status(http_response, step, self.base_url, writes=writes)

    def failure(self, step: Step, message: str, *, writes: bool) -> Failure:
        """Returns the failure of a request that may have been sent."""
        return request_failure(step, self.base_url, message, writes=writes)

    def unexpected(
        self, response: HttpResponse, step: Step, *, writes: bool
    ) -> Failure:
        """Returns the failure of a request whose response cannot be used."""
        return unusable_response(response, step, self.base_url, writes=writes)


def _describe_error(error: Exception) -> str:
    return str(error) or type(error).__name__
