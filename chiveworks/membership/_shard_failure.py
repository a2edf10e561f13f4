"""Failure of a shard call."""

from dataclasses import dataclass

from chiveworks.base import Failure, Step, Verdict
from chiveworks.membership._failure_reason import FailureReason


@dataclass(frozen=True)
class ShardFailure(Failure):
    """Failure with a machine-readable reason that is sent between processes.

    Attributes:
        reason: Cause that the caller can act on.
        owner_address: `ip:port` of the owner, if known; only with `NOT_OWNER`.
    """

    reason: FailureReason = FailureReason.UNSPECIFIED
    owner_address: str = ''

    @classmethod
    def not_owner(cls, peer: str, owner_address: str = '') -> 'ShardFailure':
        """Creates the failure of a process that does not own the shard."""
        return cls(
            verdict=Verdict.NOT_RUN,
            step=Step.RESOLVE,
            peer=peer,
            message='this process does not own the shard',
            reason=FailureReason.NOT_OWNER,
            owner_address=owner_address,
        )


def reason_of(failure: Failure) -> FailureReason:
    """Returns the failure's reason, or `UNSPECIFIED` if it has none."""
    if isinstance(failure, ShardFailure):
        return failure.reason
    return FailureReason.UNSPECIFIED
