"""Control of a simulated worker without a network, for unit tests."""

from dataclasses import dataclass

from result import Err, Ok, Result

from chiveworks.base import Attempt, Epoch, Failure, Step, TaskId
from chiveworks.workers import Refusal, Renewal, StartOrder, WorkerReport
from standins.workers._worker import SimulatedWorker


@dataclass(slots=True)
class MemoryWorkerControl:
    """Implementation of `chiveworks.workers.WorkerControl` without a network.

    Attributes:
        worker: Worker to control.
        unreachable: Whether every call fails with the verdict "not run".
        drop_answers: Number of commands that take effect but whose responses are
            lost.
        lose_stops: Whether stops have no effect and get no response.
        ignored_stops: Number of stops that are accepted but not executed.
    """

    worker: SimulatedWorker
    unreachable: bool = False
    drop_answers: int = 0
    lose_stops: bool = False
    ignored_stops: int = 0

    async def renew(self, renewal: Renewal) -> Result[WorkerReport, Failure | Refusal]:
        """Extends the control lease and returns the worker's report."""
        if self.unreachable:
            return self._refused_connection()
        outcome = self.worker.renew(renewal)
        lost = self._lose_response(Step.RENEW)
        return lost or outcome.map(lambda report: report.to_message())

    async def start(self, order: StartOrder) -> Result[None, Failure | Refusal]:
        """Starts an attempt."""
        if self.unreachable:
            return self._refused_connection()
        return self._respond(self.worker.start(order), Step.START)

    async def stop(
        self, epoch: Epoch, task_id: TaskId, attempt: Attempt, *, checkpoint: bool
    ) -> Result[None, Failure | Refusal]:
        """Stops an attempt."""
        if self.unreachable:
            return self._refused_connection()
        if self.lose_stops:
            peer = self.worker.spec.worker_id
            return Err(Failure.unknown(Step.STOP, peer, 'no response'))
        if self.ignored_stops > 0:
            self.ignored_stops -= 1
            return Ok(None)
        outcome = self.worker.stop(epoch, task_id, attempt, checkpoint=checkpoint)
        return self._respond(outcome, Step.STOP)

    async def throttle(
        self, epoch: Epoch, task_id: TaskId, attempt: Attempt, share: float
    ) -> Result[None, Failure | Refusal]:
        """Limits an attempt to a share of its CPU."""
        if self.unreachable:
            return self._refused_connection()
        outcome = self.worker.throttle(epoch, task_id, attempt, share)
        return self._respond(outcome, Step.SEND)

    async def resize(
        self, epoch: Epoch, task_id: TaskId, attempt: Attempt, cpu_millicores: int
    ) -> Result[None, Failure | Refusal]:
        """Sets the CPU allocated to an attempt."""
        if self.unreachable:
            return self._refused_connection()
        outcome = self.worker.resize(epoch, task_id, attempt, cpu_millicores)
        return self._respond(outcome, Step.SEND)

    def _respond(
        self, outcome: Result[None, Refusal], step: Step
    ) -> Result[None, Failure | Refusal]:
        lost = self._lose_response(step)
        if lost:
            return lost
        return Err(outcome.err_value) if isinstance(outcome, Err) else Ok(None)

    def _refused_connection(self) -> Err[Failure | Refusal]:
        peer = self.worker.spec.worker_id
        return Err(Failure.not_run(Step.CONNECT, peer, 'connection refused'))

    def _lose_response(self, step: Step) -> Err[Failure | Refusal] | None:
        if self.drop_answers <= 0:
            return None
        self.drop_answers -= 1
        peer = self.worker.spec.worker_id
        return Err(Failure.unknown(step, peer, 'response lost'))
