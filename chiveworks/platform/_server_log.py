"""Log of the HTTP server."""

import logging

from aiohttp.http import HttpProcessingError

from chiveworks.events import EventLog


class UnreadableRequestFilter(logging.Filter):
    """Keeps the content of requests that are not HTTP out of the log.

    The server logs the malformed line of a header section, which may be the one with the
    key of a client account. The event log gets the kind of the error instead.

    Args:
        log: Event log.
    """

    def __init__(self, log: EventLog) -> None:
        super().__init__()
        self._log = log

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the server may write a record itself."""
        error = record.exc_info and record.exc_info[1]
        if not isinstance(error, HttpProcessingError):
            return True
        kind = type(error).__name__
        self._log.write_sparse('request_unreadable', kind, error=kind)
        return False


def create_server_logger(log: EventLog) -> logging.Logger:
    """Returns the logger of a server, whose records go to that of the library."""
    # Not registered, so that the filter belongs to this process alone.
    logger = logging.Logger('chiveworks.platform.server')
    logger.parent = logging.getLogger('aiohttp.server')
    logger.addFilter(UnreadableRequestFilter(log))
    return logger
