"""In-memory worker with runs that last, for tests of long-running tasks."""

from datetime import timedelta

from chiveworks.dispatch import EndKind
from standins.runners import MemoryRunner

#: Prefix of the ids of jobs whose runs do not end on their own.
LASTING = 'lasting'
LASTING_RUN_TIME = timedelta(days=1)
_FULL = 100


class LastingRunner(MemoryRunner):
    """Worker on which runs of jobs named `LASTING...` go on until they are stopped.

    Such runs report full progress; other runs take as long as on a `MemoryRunner`.
    """

    def fail(self, ref):
        """Ends the current run of a task with a failure."""
        self._end(ref, EndKind.FAILED)

    def _start(self, order):
        outcome = super()._start(order)
        run = self._runs.get(order.ref)
        if run is not None and order.ref.job_id.startswith(LASTING):
            run.ends_at = LASTING_RUN_TIME
        return outcome

    def _percent(self, run):
        if run.ends_at >= LASTING_RUN_TIME:
            return _FULL
        return super()._percent(run)


def add_lasting_worker(deployment, name, cores=10):
    """Adds a worker with a `LastingRunner` to an in-memory deployment."""
    deployment.add_worker(name, cores)
    deployment.runners[name] = LastingRunner(deployment.clock)
