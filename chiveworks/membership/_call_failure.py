"""Conversion of gRPC errors to failures."""

from typing import Any

import grpc

from chiveworks.base import Failure, Step

_Code = grpc.StatusCode


def call_failure(error: Any, method: str, address: str) -> Failure:
    """Converts the error of a call on an open connection to a failure.

    gRPC does not report whether the request was sent. The outcome is therefore
    unknown for every error except `UNIMPLEMENTED`.
    """
    code = error.code()
    if code is _Code.UNIMPLEMENTED:
        return Failure.not_run(
            Step.SEND, address, f'the peer does not implement {method}'
        )
    if code is _Code.DEADLINE_EXCEEDED:
        return Failure.unknown(Step.WAIT, address, f'{method} timed out')
    details = error.details() or code.name
    return Failure.unknown(Step.READ, address, f'{method} failed: {details}')
