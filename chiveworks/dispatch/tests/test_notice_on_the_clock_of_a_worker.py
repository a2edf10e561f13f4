"""Tests that the notice of a draining worker is counted on that worker's clock."""

from datetime import timedelta

import pytest

from chiveworks.base import JobId, Resources
from chiveworks.dispatch.tests.deployment import InMemoryDeployment, start_leader
from chiveworks.dispatch.tests.lasting_runner import LASTING, LastingRunner
from chiveworks.workflow import StepSpec, TaskRef

REF = TaskRef(JobId(LASTING), 0, 0, 0)
CORE = Resources(1000, 1)
#: Time in seconds from the announcement of a departure to the departure.
NOTICE = 6
STOP_DURATION = timedelta(milliseconds=900)
#: Time in seconds after the announcement until which a run must not be stopped: 0.4 s
#: before it has to be. Lasting tasks move 2 s before others are stopped.
UNDISTURBED = {False: 3.9, True: 1.9}


class OtherClock:
    """Steady clock of a worker, which differs from those of the processes.

    Args:
        clock: Clock of the deployment.
        offset: Time by which this clock is ahead.
        rate: Speed of this clock.
    """

    def __init__(self, clock, offset, rate):
        self._clock = clock
        self._offset = offset
        self._rate = rate

    def monotonic(self):
        return self._offset + self._clock.monotonic() * self._rate

    async def sleep(self, delay):
        await self._clock.sleep(delay)


@pytest.mark.parametrize('offset_s', [-1000, 1000])
@pytest.mark.parametrize('rate', [0.98, 1])
@pytest.mark.parametrize('changes', [0, 2])
@pytest.mark.parametrize('lasting', [False, True])
async def test_runs_are_stopped_before_a_worker_with_another_clock_leaves(
    offset_s, rate, changes, lasting
):
    """Guards against a departure that is expected too early or too late, since the time
    of the entry is compared with the leader's clock."""
    deployment = InMemoryDeployment(workers=0)
    clocks = {}
    undisturbed = UNDISTURBED[lasting]
    gap = undisturbed / (changes + 1)
    try:
        for name in ('w0', 'w1'):
            deployment.add_worker(name, 10)
            clocks[name] = OtherClock(
                deployment.clock, timedelta(seconds=offset_s), rate
            )
            deployment.runners[name] = LastingRunner(clocks[name])
            deployment.runners[name].stop_duration = STOP_DURATION
        process = await start_leader(deployment, 'leader0')
        step = StepSpec(1, CORE, long_running=lasting)
        await deployment.submit(REF.job_id, step)
        (name,) = [n for n, each in deployment.runners.items() if each.running]
        runner = deployment.runners[name]
        runner._runs[REF].ends_at = timedelta.max
        deployment.change_worker(
            name,
            draining=True,
            remaining=timedelta(seconds=NOTICE),
            written_at=clocks[name].monotonic(),
        )
        for number in range(changes):
            await deployment.wait(gap)
            await deployment.leaders[f'leader{number}'].resign()
            await deployment.kill(process)
            process = deployment.process(f'leader{number + 1}')
        await deployment.wait(undisturbed - gap * changes)
        assert REF in runner.running
        assert runner._runs[REF].stops_at is None
        await deployment.wait(NOTICE - undisturbed)
        runner.leave()
        ends = [entry[0] for entry in runner.history if entry[0] != 'start']
        assert ends == ['stopped']
        await deployment.wait(0.5)
        assert any(REF in each.running for each in deployment.runners.values())
    finally:
        await deployment.close()
