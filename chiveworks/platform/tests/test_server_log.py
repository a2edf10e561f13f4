"""Log of errors that the HTTP server meets."""

import logging

from aiohttp.http_exceptions import BadHttpMessage

from chiveworks.base import ManualClock
from chiveworks.dispatch.tests.deployment import RecordingLog
from chiveworks.platform._server_log import create_server_logger


def write(error):
    """Logs an error as the server does; returns the lines of the event log."""
    log = RecordingLog(ManualClock())
    logger = create_server_logger(log)
    for _ in range(2):
        try:
            raise error
        except Exception:
            logger.exception('Error handling request')
    return log.events


def test_the_content_of_an_unreadable_request_is_not_logged(caplog):
    """Guards against the key in a malformed header that gets into the log, and against
    a line for each such request of a flood."""
    lines = write(BadHttpMessage('Authorization: Bearer k'))
    assert lines == [('request_unreadable', {'error': 'BadHttpMessage'})]
    assert not caplog.records


def test_errors_of_handlers_are_logged_with_their_trace(caplog):
    """Guards against programming errors that no log shows."""
    assert not write(RuntimeError('x'))
    assert len(caplog.records) == 2
    assert caplog.records[0].levelno == logging.ERROR
    assert 'RuntimeError: x' in caplog.text
