"""A refusal that the tenant can avoid."""

from dataclasses import dataclass

from chiveworks.base import Failure, Step, Verdict


@dataclass(frozen=True)
class TenantLimitFailure(Failure):
    """The tenant exceeded a limit of its own; others are served."""

    @classmethod
    def not_run(
        cls, step: Step, peer: str, message: str, next_step: str = ''
    ) -> 'TenantLimitFailure':
        """Returns a refusal; the request had no effect."""
        return cls(Verdict.NOT_RUN, step, peer, message, next_step)
