"""How one attempt of a request ended."""

from enum import Enum


class AttemptEnd(str, Enum):
    """Ways in which an attempt fails."""

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
