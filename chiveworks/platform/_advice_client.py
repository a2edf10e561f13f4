"""HTTP client of the platform's placement advice service."""

from collections.abc import Sequence
from datetime import timedelta
from typing import Final

from result import Err, Ok, Result

from chiveworks.base import Failure, JobId, Step, WorkerId
from chiveworks.dispatch import Advice
from chiveworks.platform._channel import Channel
from chiveworks.platform._fields import Fields, check_list, check_text

#: Timeout of a call; the service takes longer the more workers a call names.
CALL_TIMEOUT: Final = timedelta(seconds=3)


class HttpAdvisor:
    """Client of the placement advice service.

    Args:
        address: Host and port of the service; empty if there is none.
    """

    def __init__(self, address: str) -> None:
        self._channel = Channel(address, CALL_TIMEOUT) if address else None

    async def advise(
        self, job_id: JobId, occurrence: int, step: int, workers: Sequence[WorkerId]
    ) -> Result[Advice, Failure]:
        """Requests which of the workers may run a step."""
        if self._channel is None:
            message = 'the settings name no service'
            return Err(Failure.not_run(Step.RESOLVE, 'placement advice', message))
        body = {'step': f'{job_id}.{occurrence}.{step}', 'workers': list(workers)}
        result = await self._channel.call(
            'POST', '/v1/advise', Step.RESOLVE, body=body, writes=False
        )
        if isinstance(result, Err):
            return result
        status, reply = result.ok_value
        try:
            return Ok(_decode_advice(Fields(reply)))
        except ValueError as error:
            message = f'status {status}, unusable advice: {error}'
            return Err(Failure.not_run(Step.RESOLVE, 'placement advice', message))

    async def close(self) -> None:
        """Closes all connections."""
        if self._channel is not None:
            await self._channel.close()


def _decode_advice(fields: Fields) -> Advice:
    rows = [check_list('allowed', row, 2) for row in fields.required_rows('allowed')]
    tickets = {
        WorkerId(check_text('worker', row[0])): check_text('ticket', row[1])
        for row in rows
    }
    return Advice(tickets, fields.duration('valid_ms'))
