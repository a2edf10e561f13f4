"""Unexpected errors cost the worker, step or check that they concern, not the term."""

import pytest

from chiveworks.base import Resources
from chiveworks.dispatch.tests.deployment import start_leader
from chiveworks.workflow import JobState, StepSpec

CORE = Resources(1000, 1)


class FailingCalls:
    """Client of a worker whose next calls of some kinds raise an error."""

    def __init__(self, runner, failures):
        self._runner = runner
        self.failures = failures

    def __getattr__(self, name):
        if self.failures.get(name, 0):
            self.failures[name] -= 1
            return self._fail
        return getattr(self._runner, name)

    async def _fail(self, *_arguments):
        raise RuntimeError('File descriptor 225 is used by transport')


def check_one_term(deployment):
    assert len(deployment.log.named('leadership_gained')) == 1
    assert not deployment.log.named('leadership_lost')


@pytest.mark.parametrize('call', ['poll', 'start', 'stop'])
async def test_an_error_in_calls_to_a_worker_does_not_end_the_term(deployment, call):
    """Guards against a leader that loses its term to an error in one connection."""
    await start_leader(deployment)
    for name, runner in tuple(deployment.runners.items()):
        deployment.runners[name] = FailingCalls(runner, {call: 2})
    for worker in deployment.leaders['a'].scheduler.fleet.workers.values():
        worker.control = deployment.runners[worker.worker_id]
    await deployment.submit('j', StepSpec(4, CORE))
    await deployment.submit('cancelled', StepSpec(2, CORE))
    await deployment.spawn(deployment.intake.cancel('cancelled'))
    await deployment.wait(12)
    check_one_term(deployment)
    assert await deployment.state('j') is JobState.COMPLETED
    assert await deployment.state('cancelled') is JobState.CANCELLED
    starts = [
        entry[1:]
        for runner in deployment.runners.values()
        for entry in runner.history
        if entry[0] == 'start'
    ]
    assert len(starts) == len(set(starts))
    assert not any(runner.running for runner in deployment.runners.values())


async def test_an_error_in_a_check_does_not_end_the_term(deployment):
    """Guards against leaders that end one after the other at the same check."""
    await start_leader(deployment)
    scheduler = deployment.leaders['a'].scheduler

    def fail():
        raise KeyError('worker')

    checks = scheduler._checks
    checks._checks = (fail, *checks._checks)
    await deployment.submit('j')
    await deployment.wait(3)
    check_one_term(deployment)
    assert await deployment.state('j') is JobState.COMPLETED
    assert deployment.log.named('check_failed')


async def test_an_error_in_the_assignment_of_a_step_costs_that_step(deployment):
    """Guards against one job that keeps all others from being scheduled."""
    await start_leader(deployment)
    scheduler = deployment.leaders['a'].scheduler
    placer = scheduler._assigner._placer
    rank = placer.rank

    def fail_for_odd_steps(task, candidates):
        if task.ref.job_id == 'odd':
            raise ZeroDivisionError
        return rank(task, candidates)

    placer.rank = fail_for_odd_steps
    await deployment.submit('odd')
    await deployment.submit('j')
    await deployment.wait(3)
    check_one_term(deployment)
    assert await deployment.state('j') is JobState.COMPLETED
    assert [line['job'] for line in deployment.log.named('step_failed')] == ['odd']


async def test_an_error_in_a_listener_costs_that_entry(deployment):
    """Guards against a listing that one job's record interrupts in every term."""
    await start_leader(deployment)
    scheduler = deployment.leaders['a'].scheduler
    accept = scheduler.accept

    def fail_for_odd_jobs(submission, progress=None):
        if submission.job_id == 'odd':
            raise TypeError('odd')
        accept(submission, progress)

    scheduler.accept = fail_for_odd_jobs
    await deployment.submit('odd')
    await deployment.submit('j')
    await deployment.wait(3)
    check_one_term(deployment)
    assert await deployment.state('j') is JobState.COMPLETED
    assert deployment.log.named('entry_failed')
