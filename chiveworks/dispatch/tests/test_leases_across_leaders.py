"""Tests runs while leaders, workers and the links between them fail at random."""

import os
import random
from datetime import timedelta

import pytest

from chiveworks.base import JobId
from chiveworks.dispatch._lease_record import decode_leases
from chiveworks.dispatch.tests.leader_fault_scenario import LeaderFaultScenario
from chiveworks.metastore import LEASES_KEY, job_key
from chiveworks.workflow import JobState, decode_record

#: With LEASE_SEEDS=n, the n seeds from LEASE_FIRST_SEED on run instead of these.
DEFAULT_SEEDS = (0, 1, 2)
FIRST_SEED = int(os.environ.get('LEASE_FIRST_SEED', '0'))
SEED_COUNT = int(os.environ.get('LEASE_SEEDS', '0'))
ROUND_COUNT = 3
FAULTS_PER_ROUND = 25
CHECK_INTERVAL = timedelta(milliseconds=50)
#: Time without faults after which each lasting task runs.
RESTART_LIMIT = timedelta(seconds=9)
#: The same if a leader was killed, whose term ends some time later.
KILLED_RESTART_LIMIT = timedelta(seconds=11)
#: Time without faults after each round and at the end.
CALM_TIME = timedelta(seconds=12)


class _Check:
    """Compares the runs with what they have to be at the time."""

    def __init__(self, scenario):
        self._scenario = scenario
        self._deployment = scenario.deployment

    def check_step(self):
        """Checks what holds at any time."""
        runs = {}
        for name, runner in sorted(self._deployment.runners.items()):
            runner.check_lapse()
            for ref in runner.running:
                runs.setdefault(ref, []).append(name)
        twice = {ref: names for ref, names in runs.items() if len(names) > 1}
        assert not twice
        assert not self._deployment.observer.violations
        if self._calm:
            waiting = [ref for ref in self._lasting_tasks() if ref not in runs]
            assert not waiting, f'{waiting} wait at {self._scenario.plan.now}'

    def check_end(self):
        """Checks the claims of the leader after a quiet period."""
        (machine,) = self._deployment.leading()
        fleet = self._deployment.leaders[machine].scheduler.fleet
        claims = {(task.ref, task.attempt, task.worker) for task in fleet.runs()}
        runs = {
            (ref, attempt, name)
            for name, runner in self._deployment.runners.items()
            for ref, attempt in runner.attempts().items()
        }
        assert claims == runs
        record = self._deployment.store.items.get(LEASES_KEY)
        assert record is None or not decode_leases(record.content).times_left

    @property
    def _calm(self):
        """Whether lasting tasks have had room and time to run."""
        plan, now = self._scenario.plan, self._scenario.plan.now
        limit = RESTART_LIMIT
        if _any_since(plan.kills, now - 2 * KILLED_RESTART_LIMIT, now):
            limit = KILLED_RESTART_LIMIT
        if _any_since(plan.disturbances, now - limit, now):
            return False
        leading = self._deployment.leading()
        return not leading or len(self._scenario.workers.usable_by(leading[0])) > 1

    def _lasting_tasks(self):
        tables = [
            self._deployment.leaders[machine].scheduler.table
            for machine in self._deployment.leading()
        ]
        for name in sorted(self._scenario.lasting):
            content = self._deployment.store.items[job_key(JobId(name))].content
            record = decode_record(JobId(name), content)
            job = tables[0].jobs.get(JobId(name)) if tables else None
            if isinstance(record, JobState) or job and job.state.terminal:
                self._scenario.lasting.discard(name)
                self._scenario.plan.faults.append(f'{name} has failed')
                continue
            assert job is not None, f'{name} is not known to a leader'
            yield from (task.ref for task in job.tasks())


def _any_since(intervals, since, now):
    return any(begin <= now and end > since for begin, end in intervals)


async def _play(scenario):
    check = _Check(scenario)
    plan = scenario.plan
    await scenario.begin()
    for _ in range(ROUND_COUNT):
        last_fault_at = scenario.draw_faults(FAULTS_PER_ROUND)
        while plan.now < last_fault_at or not plan.settled:
            await plan.advance(plan.now + CHECK_INTERVAL)
            check.check_step()
        scenario.fill_up()
        calm_until = plan.now + CALM_TIME
        while plan.now < calm_until:
            await plan.advance(plan.now + CHECK_INTERVAL)
            check.check_step()
    check.check_end()


@pytest.mark.parametrize(
    'seed', range(FIRST_SEED, FIRST_SEED + SEED_COUNT) or DEFAULT_SEEDS
)
async def test_no_task_runs_twice_or_waits_under_random_faults(seed):
    """Guards against a second run of a task whose first run goes on on a worker that is
    out of reach of a new leader, and against tasks that wait for longer than a lease."""
    # Elections and replicas draw their pauses from the module's generator.
    state = random.getstate()
    random.seed(seed)
    scenario = LeaderFaultScenario(seed)
    try:
        await _play(scenario)
    finally:
        # pytest shows this if the test fails.
        print(f'seed {seed}', *scenario.plan.faults, sep='\n')
        await scenario.deployment.close()
        random.setstate(state)
