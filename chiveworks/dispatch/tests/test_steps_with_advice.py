"""Tests which workers the external policy is asked about while tasks wait."""

from datetime import timedelta

import pytest
from result import Ok

from chiveworks.base import JobId, Resources
from chiveworks.dispatch import Advice
from chiveworks.dispatch._advice import TicketCache
from chiveworks.dispatch.tests.deployment import InMemoryDeployment, start_leader
from chiveworks.dispatch.tests.lasting_runner import add_lasting_worker
from chiveworks.workflow import (
    Job,
    JobSpec,
    JobState,
    QueuePolicy,
    StepRun,
    StepSpec,
    Submission,
)

ADVISED = QueuePolicy('advised', 'pool', attempt_limit=3, advised=True)
CORES = 10
#: More workers than one call of the policy may name.
WORKER_COUNT = 34
FULL = Resources(CORES * 1000, 1)
HALF = Resources(CORES * 500, 1)


class RecordingAdvisor:
    """Policy that allows some workers and records what it is asked about.

    Args:
        allowed: Ids of the workers that may run all steps.
        valid_s: Validity period of the tickets.
    """

    def __init__(self, allowed, valid_s=60):
        self.calls = []
        self._allowed = allowed
        self._valid = timedelta(seconds=valid_s)

    async def advise(self, job_id, occurrence, step, workers):
        """Returns tickets for the allowed ones of the workers."""
        self.calls.append((job_id, tuple(workers)))
        tickets = {worker: 'ticket' for worker in workers if worker in self._allowed}
        return Ok(Advice(tickets, self._valid))


class AdvisedDeployment(InMemoryDeployment):
    """Deployment of `WORKER_COUNT` workers, the first of which are filled.

    Args:
        allowed: Numbers of the workers that the policy allows.
        filled: Number of workers that lasting tasks fill.
        valid_s: Validity period of the tickets.
    """

    def __init__(self, allowed, filled, valid_s=60):
        super().__init__(workers=0)
        self._filled = filled
        self.advisor = RecordingAdvisor(
            {f'w{number:02}' for number in allowed}, valid_s
        )

    async def start(self):
        """Starts a leader and adds the workers after the first ones are full."""
        for number in range(self._filled):
            add_lasting_worker(self, f'w{number:02}', CORES)
        await start_leader(self)
        if self._filled:
            step = StepSpec(self._filled, FULL, long_running=True)
            await self.submit('lasting-filler', step)
        for number in range(self._filled, WORKER_COUNT):
            add_lasting_worker(self, f'w{number:02}', CORES)
        await self.wait(2)

    def asked(self, job_id):
        """Returns the ids of the workers in all calls for a job."""
        return [
            worker
            for job, workers in self.advisor.calls
            if job == job_id
            for worker in workers
        ]


@pytest.mark.parametrize('count', [1, 4], ids=['one-task', 'more-than-fit-on-one'])
@pytest.mark.parametrize('gang', [False, True])
async def test_a_step_does_not_wait_for_full_workers_with_tickets(count, gang):
    """Guards against a step that waits for the allowed workers that are full and asks
    about no others, although further allowed workers are empty."""
    deployment = AdvisedDeployment(allowed=(0, 1, 32, 33), filled=0)
    try:
        await deployment.start()
        # Tickets for the first workers, which are full afterwards.
        step = StepSpec(2, FULL, long_running=True)
        await deployment.submit('lasting', step, queue=ADVISED)
        await deployment.wait(1)
        await deployment.submit('j', StepSpec(count, HALF, gang=gang), queue=ADVISED)
        await deployment.wait(3)
        assert await deployment.state('j') is JobState.COMPLETED
    finally:
        await deployment.close()


async def test_a_step_asks_about_more_workers_once_its_own_are_full():
    """Guards against a wide step that fills the workers of its first tickets and then
    waits for them, although further allowed workers are empty."""
    deployment = AdvisedDeployment(allowed=range(WORKER_COUNT), filled=0)
    try:
        await deployment.start()
        step = StepSpec(WORKER_COUNT, FULL, long_running=True)
        await deployment.submit('lasting', step, queue=ADVISED)
        await deployment.wait(2)
        running = sum(len(each.running) for each in deployment.runners.values())
        assert running == WORKER_COUNT
        asked = deployment.asked(JobId('lasting'))
        assert len(asked) == len(set(asked)) == WORKER_COUNT
    finally:
        await deployment.close()


async def test_workers_with_room_are_asked_about_first():
    """Guards against a first request that names full workers only."""
    deployment = AdvisedDeployment(allowed=range(WORKER_COUNT), filled=30)
    try:
        await deployment.start()
        await deployment.submit('j', StepSpec(1, FULL), queue=ADVISED)
        await deployment.wait(2)
        assert await deployment.state('j') is JobState.COMPLETED
        assert len([job for job, _ in deployment.advisor.calls if job == 'j']) == 1
    finally:
        await deployment.close()


async def test_an_expired_ticket_is_renewed_while_another_is_valid():
    """Guards against a step that waits for a full worker with a valid ticket because
    the ticket of an empty worker has expired."""
    deployment = AdvisedDeployment(allowed=(0, 33), filled=0, valid_s=4)
    try:
        await deployment.start()
        leader = deployment.leaders['a'].scheduler
        first, last = (leader.fleet.workers[name] for name in ('w00', 'w33'))
        spec = JobSpec('payload', (StepSpec(1, FULL),))
        submission = Submission(
            JobId('j'), ADVISED, spec, accepted_at=deployment.clock.now()
        )
        run = StepRun(Job(submission, deployment.clock.monotonic()), 0, 0)
        tickets = TicketCache(deployment.clock, deployment.log, deployment.advisor)
        deployment.spawn(tickets.run())
        tickets.request_more(run, [first])
        await deployment.wait(3)
        tickets.request_more(run, [last])
        await deployment.wait(2)
        assert tickets.allowed(run, [first, last]) == [last]
        tickets.request_more(run, [first, last])
        await deployment.wait(0.1)
        assert tickets.allowed(run, [first, last]) == [first, last]
        assert deployment.asked(JobId('j')) == ['w00', 'w33', 'w00']
    finally:
        await deployment.close()


async def test_full_workers_are_not_asked_about_again_and_again():
    """Guards against calls of the policy that go on while nothing has changed."""
    deployment = AdvisedDeployment(allowed=(0,), filled=0)
    try:
        await deployment.start()
        step = StepSpec(2, FULL, long_running=True)
        await deployment.submit('lasting', step, queue=ADVISED)
        await deployment.wait(10)
        asked = deployment.asked(JobId('lasting'))
        assert len(asked) == len(set(asked)) == WORKER_COUNT
    finally:
        await deployment.close()
