"""Steps with tasks that did not fit in a round of assignment."""

from collections.abc import Iterable
from itertools import chain

from chiveworks.workflow import StepSpec


class UnplacedSteps:
    """Steps with tasks that did not fit in a round.

    Attributes:
        patient: Steps whose tasks may wait for a worker that suits them better.
        urgent: Other steps.
    """

    def __init__(self) -> None:
        self.patient: list[StepSpec] = []
        self.urgent: list[StepSpec] = []

    def add(self, spec: StepSpec, *, may_wait: bool) -> None:
        """Adds a step."""
        (self.patient if may_wait else self.urgent).append(spec)

    def relevant(self, *, may_wait: bool) -> Iterable[StepSpec]:
        """Returns the steps that were tried on all workers that a task accepts."""
        return chain(self.urgent, self.patient) if may_wait else self.urgent
