"""Limits of the retries of calls to the store."""

from datetime import timedelta
from typing import Final

#: Time after which the outcome of a request that the store has not answered is reported
#: as unknown. Clients time out after 3 s and repeat the request, whose job id then
#: resolves it.
RESOLVE_TIMEOUT: Final = timedelta(milliseconds=1000)
#: Pause before a call without a response is retried.
RETRY_PAUSE: Final = timedelta(milliseconds=40)
