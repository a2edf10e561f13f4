"""First-fit placement policy, the baseline in benchmarks."""

from collections.abc import Iterable

from chiveworks.base import WorkerId
from chiveworks.placement._candidate import Candidate
from chiveworks.placement._demand import Demand
from chiveworks.placement._policy import placement_policies


@placement_policies.register('first_fit')
class FirstFit:
    """Chooses the first candidate with enough free resources."""

    def choose(
        self, demand: Demand, candidates: Iterable[Candidate]
    ) -> WorkerId | None:
        """Returns the first worker that accepts the demand."""
        for candidate in candidates:
            if candidate.accepts(demand):
                return candidate.worker_id
        return None
