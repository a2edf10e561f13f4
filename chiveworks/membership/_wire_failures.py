"""Conversion of failures to and from protobuf."""

from typing import Any

from chiveworks.base import Failure, Step, Verdict
from chiveworks.membership import peer_pb2
from chiveworks.membership._enum_codec import EnumCodec
from chiveworks.membership._failure_reason import FailureReason
from chiveworks.membership._shard_failure import ShardFailure, reason_of

_VERDICTS = EnumCodec(Verdict, peer_pb2.Verdict, 'VERDICT_')
_STEPS = EnumCodec(Step, peer_pb2.Step, 'STEP_')
_REASONS = EnumCodec(FailureReason, peer_pb2.FailureReason, 'FAILURE_REASON_')


def failure_to_wire(failure: Failure) -> Any:
    """Converts a failure to protobuf."""
    owner_address = ''
    if isinstance(failure, ShardFailure):
        owner_address = failure.owner_address
    return peer_pb2.Failure(
        verdict=_VERDICTS.encode(failure.verdict),
        step=_STEPS.encode(failure.step),
        peer=failure.peer,
        message=failure.message,
        next_step=failure.next_step,
        reason=_REASONS.encode(reason_of(failure)),
        owner_address=owner_address,
    )


def failure_from_wire(message: Any) -> ShardFailure:
    """Converts a failure from protobuf.

    Raises:
        ValueError: A verdict, step or reason is unknown to this version.
    """
    return ShardFailure(
        verdict=_VERDICTS.decode(message.verdict),
        step=_STEPS.decode(message.step),
        peer=message.peer,
        message=message.message,
        next_step=message.next_step,
        reason=_REASONS.decode(message.reason),
        owner_address=message.owner_address,
    )
