"""Verdict of a call that gRPC reports as failed."""

from typing import Any

import grpc

from chiveworks.base import Failure, Step

_Code = grpc.StatusCode


def call_failure(error: Any, method: str, address: str) -> Failure:
    """Returns the failure of a call that was handed to an open connection.

    gRPC does not tell whether the request had left this process, so everything
    but a method that the peer does not have is of unknown outcome.
    """
    code = error.code()
    if code is _Code.UNIMPLEMENTED:
        return Failure.not_run(Step.SEND, address, f'the peer has no method {method}')
    if code is _Code.DEADLINE_EXCEEDED:
        return Failure.unknown(Step.WAIT, address, f'{method} had no answer in time')
    details = error.details() or code.name
    return Failure.unknown(Step.READ, address, f'{method} broke off: {details}')
