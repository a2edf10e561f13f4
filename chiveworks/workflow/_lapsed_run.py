"""Run under which the lease of its worker has lapsed."""

from dataclasses import dataclass

from chiveworks.base import WorkerId


@dataclass(frozen=True, slots=True)
class LapsedRun:
    """Run that may have crashed its worker, which is not known yet.

    Attributes:
        worker: Worker whose lease has lapsed.
        address: Address of the worker at the claim; empty when unknown.
        born_ms: Start time of the incarnation that the run was claimed for; 0 when
            unknown.
        attempt: Number of the run.
    """

    worker: WorkerId
    address: str
    born_ms: int
    attempt: int
