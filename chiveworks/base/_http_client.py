"""Calls of the platform over HTTP, bounded in time and with exact verdicts."""

from dataclasses import dataclass
from datetime import timedelta

import aiohttp
from result import Err, Ok, Result
from yarl import URL

from chiveworks.base._failure import Failure
from chiveworks.base._http_response import HttpResponse
from chiveworks.base._step import Step
from chiveworks.base._verdict import Verdict

# Control traffic has a budget of 2 KB a second for each node.
_SKIPPED_HEADERS = ('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type')
#: The platform answers these before it does anything.
_REFUSED = frozenset((429, 503))
_CLIENT_ERROR = 400
_SERVER_ERROR = 500


class _AnswerLostError(aiohttp.ClientError):
    """The connection broke after the request may have been sent."""


async def _send_once(
    request: aiohttp.ClientRequest, send: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    # aiohttp repeats PUT and DELETE by itself after these errors. A repeated
    # compare-and-swap would report a conflict with its own first write.
    try:
        return await send(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _AnswerLostError(str(error) or type(error).__name__) from error


@dataclass(frozen=True, slots=True)
class HttpClient:
    """Sends calls to one base URL.

    Attributes:
        session: Session that the owner of the process closes.
        base_url: Start of every URL.
        timeout: Limit of a call in all.
        connect_timeout: Limit of the wait for a connection.
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
        """Sends one call once and reads the whole answer.

        Args:
            method: HTTP method.
            path: Path below the base URL.
            step: Step named by failures past the connection.
            query: Query parameters.
            body: Request body.
            timeout: Limit of this call instead of the caller's.
            writes: Whether the call has an effect; a failed read never had one.

        Returns:
            The answer, for every status but 429 and 5xx.
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
                answer = HttpResponse(response.status, await response.read())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Err(Failure.not_run(Step.CONNECT, self.base_url, _text(error)))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Err(self.failure(step, _text(error), writes=writes))
        return self._check_status(answer, step, writes=writes)

    def failure(self, step: Step, message: str, *, writes: bool) -> Failure:
        """Returns the failure of a call that may have been sent."""
        verdict = Verdict.OUTCOME_UNKNOWN if writes else Verdict.NOT_RUN
        return Failure(verdict, step, self.base_url, message)

    def unexpected(self, answer: HttpResponse, step: Step, *, writes: bool) -> Failure:
        """Returns the failure of a call whose answer cannot be used.

        A status from 400 to 499 says that the call had no effect.
        """
        rejected = _CLIENT_ERROR <= answer.status < _SERVER_ERROR
        message = f'unusable answer with status {answer.status}'
        return self.failure(step, message, writes=writes and not rejected)

    def _check_status(
        self, answer: HttpResponse, step: Step, *, writes: bool
    ) -> Result[HttpResponse, Failure]:
        if answer.status in _REFUSED:
            message = f'refused with status {answer.status}'
            return Err(Failure.not_run(step, self.base_url, message))
        if answer.status >= _SERVER_ERROR:
            return Err(self.unexpected(answer, step, writes=writes))
        return Ok(answer)


def _text(error: Exception) -> str:
    return str(error) or type(error).__name__
