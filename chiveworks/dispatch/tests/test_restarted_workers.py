"""Tests runs that are started while their worker restarts."""

from datetime import timedelta

from chiveworks.dispatch.tests.deployment import InMemoryDeployment, start_leader
from chiveworks.dispatch.tests.lasting_runner import LASTING, add_lasting_worker


async def test_a_run_that_started_after_a_restart_is_not_started_elsewhere():
    """Guards against a working run that counts as lost, and against a second run beside
    it, after its start has reached the new incarnation of a worker before the first
    report of that incarnation."""
    deployment = InMemoryDeployment(workers=0)
    try:
        for name in ('w0', 'w1'):
            add_lasting_worker(deployment, name)
        await start_leader(deployment)
        for runner in deployment.runners.values():
            runner.start_delay = timedelta(milliseconds=150)
        await deployment.submit(LASTING)
        (claim,) = deployment.log.named('task_claimed')
        await _restart(deployment, deployment.runners[claim['worker']])
        await deployment.wait(2)
        assert not deployment.log.named('run_lost')
        assert len(deployment.starts()) == 1
    finally:
        await deployment.close()


async def _restart(deployment, runner):
    """Restarts a worker, which interrupts the current poll."""
    runner.born_ms += 1
    runner.reachable = False
    await deployment.wait(0.03)
    runner.reachable = True
