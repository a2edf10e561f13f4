"""HTTP client of the platform's placement advice service."""

from collections.abc import Sequence
from datetime import timedelta
from typing import Final

from result import Err, Ok, Result

from chiveworks.base import Failure, JobId, Step, WorkerId
from chiveworks.dispatch import Advice
from chiveworks.platform._channel import Channel

#: Timeout of a call; the service takes longer the more workers a call names.
CALL_TIMEOUT: Final = timedelta(seconds=3)


class HttpAdvisor:
    """Client of the placement advice service.

    Args:
        address: Host and port of the service.
    """

    def __init__(self, address: str) -> None:
        self._channel = Channel(address, CALL_TIMEOUT)

    async def advise(
        self, job_id: JobId, occurrence: int, step: int, workers: Sequence[WorkerId]
    ) -> Result[Advice, Failure]:
        """Requests which of the workers may run a step."""
        body = {'step': f'{job_id}.{occurrence}.{step}', 'workers': list(workers)}
        result = await self._channel.call(
            'POST', '/v1/advise', Step.RESOLVE, body=body, writes=False
        )
        if isinstance(result, Err):
            return result
        status, reply = result.ok_value
        try:
            tickets = {WorkerId(row[0]): str(row[1]) for row in reply['allowed']}
            valid = timedelta(milliseconds=reply['valid_ms'])
        except (LookupError, TypeError) as error:
            message = f'status {status}, unusable advice: {error!r}'
            return Err(Failure.not_run(Step.RESOLVE, 'placement advice', message))
        return Ok(Advice(tickets, valid))

    async def close(self) -> None:
        """Closes all connections."""
        await self._channel.close()
