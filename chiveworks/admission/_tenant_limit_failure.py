"""Failure of a request that exceeded a limit of its tenant."""

from dataclasses import dataclass

from chiveworks.base import Failure, Step, Verdict


@dataclass(frozen=True)
class TenantLimitFailure(Failure):
    """The tenant exceeded one of its own limits; other tenants are not affected."""

    @classmethod
    def not_run(
        cls, step: Step, peer: str, message: str, next_step: str = ''
    ) -> 'TenantLimitFailure':
        """Returns the failure of a refused request, which had no effect."""
        return cls(Verdict.NOT_RUN, step, peer, message, next_step)
