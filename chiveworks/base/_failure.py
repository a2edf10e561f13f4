"""An expected failure, returned as the error of a `Result`."""

from dataclasses import dataclass

from chiveworks.base._step import Step
from chiveworks.base._verdict import Verdict


@dataclass(frozen=True)
class Failure:
    """Why an operation failed and whether it may have taken effect.

    Attributes:
        verdict: Whether the operation may have taken effect.
        step: Step at which it failed.
        peer: Address or name of the remote side; empty if there is none.
        message: What happened, in one sentence.
        next_step: What the user can do about it; may be empty.
    """

    verdict: Verdict
    step: Step
    peer: str
    message: str
    next_step: str = ''

    @classmethod
    def not_run(
        cls, step: Step, peer: str, message: str, next_step: str = ''
    ) -> 'Failure':
        """Returns a failure of an operation that had no effect."""
        return cls(Verdict.NOT_RUN, step, peer, message, next_step)

    @classmethod
    def unknown(
        cls, step: Step, peer: str, message: str, next_step: str = ''
    ) -> 'Failure':
        """Returns a failure of an operation that may have had an effect."""
        return cls(Verdict.OUTCOME_UNKNOWN, step, peer, message, next_step)

    def __str__(self) -> str:
        """Formats the failure for logs and command output."""
        place = f'{self.step.value} at {self.peer}' if self.peer else self.step.value
        return f'{self.verdict.value} ({place}): {self.message}'
