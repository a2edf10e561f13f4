"""Ways in which an attempt to send a request can fail."""

from enum import Enum


class AttemptEnd(str, Enum):
    """How a failed attempt ended."""

    CONNECT_FAILED = 'connect_failed'
    CONNECT_TIMEOUT = 'connect_timeout'
    REFUSED = 'refused'
    SEND_FAILED = 'send_failed'
    ANSWER_TIMEOUT = 'answer_timeout'
    DISCONNECTED = 'disconnected'
    WRONG_REQUEST_ID = 'wrong_request_id'
    MALFORMED_ANSWER = 'malformed_answer'
    TRUNCATED = 'truncated'
    READ_TIMEOUT = 'read_timeout'
