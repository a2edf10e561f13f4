"""State machine: lasting tasks run again in time, however often the leader changes."""

import asyncio
import itertools
import os
import random
from datetime import timedelta

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from chiveworks.base import JobId, Resources
from chiveworks.dispatch._worker_lease import CLOCK_DRIFT
from chiveworks.dispatch.tests.faulty_deployment import FaultyDeployment
from chiveworks.dispatch.tests.lasting_runner import LASTING
from chiveworks.workflow import StepSpec, TaskRef
from standins.runners import LEASE_LIMIT

MACHINES = ('a', 'b')
WORKER_COUNT = 4
STEP = StepSpec(3, Resources(1000, 1), long_running=True)
REFS = [TaskRef(JobId(LASTING), 0, 0, position) for position in range(STEP.count)]
NOTICE = timedelta(seconds=6)
STOP_DURATION = timedelta(milliseconds=900)
OBSERVATION_GAP = 0.05
#: Time in seconds for which a lasting task may not run while a leader can act: the lease
#: of a lost worker, and the time that the platform allows for a start.
IDLE_LIMIT = LEASE_LIMIT.total_seconds() / (1 - CLOCK_DRIFT) + 3


class LastingTasks(RuleBasedStateMachine):
    """Loses and drains workers while leaders resign, die, and lose links."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.names = itertools.count()
        self.idle_s = dict.fromkeys(REFS, 0)
        self.faults_until = timedelta()
        self.run(self.set_up())

    def run(self, work):
        return self.runner.run(work)

    async def set_up(self):
        self.deployment = FaultyDeployment(MACHINES, random.Random(1))
        for _ in range(WORKER_COUNT):
            self.add_worker()
        for machine in MACHINES:
            self.deployment.start_process(machine)
        await self.deployment.wait(0.5)
        await self.deployment.submit(LASTING, STEP)
        await self.deployment.wait(1)

    def add_worker(self):
        number = next(self.names)
        start = timedelta(seconds=100 * number)
        self.deployment.add_observed_worker(f'w{number}', 10, start, 1)
        self.deployment.runners[f'w{number}'].stop_duration = STOP_DURATION

    async def observe(self, seconds):
        """Adds up for how long tasks do not run while a leader can act."""
        for _ in range(max(int(seconds / OBSERVATION_GAP), 1)):
            await self.deployment.wait(min(OBSERVATION_GAP, seconds))
            runners = self.deployment.runners.values()
            running = [set(runner.running) for runner in runners]
            can_act = (
                self.deployment.clock.monotonic() >= self.faults_until
                and self.deployment.leading()
            )
            for ref in REFS:
                count = sum(ref in each for each in running)
                assert count <= 1, ref
                if count:
                    self.idle_s[ref] = 0
                elif can_act:
                    self.idle_s[ref] += OBSERVATION_GAP
                assert self.idle_s[ref] <= IDLE_LIMIT, ref

    def busy_worker(self):
        """Returns the first of the workers with the most runs."""
        listed = filter(self.deployment.is_listed, self.deployment.runners)
        runners = self.deployment.runners
        return max(listed, key=lambda name: len(runners[name].running))

    def leave(self, name):
        self.deployment.runners[name].leave()
        self.deployment.store.remove(f'workers/{name}')

    def fault(self, seconds):
        """Returns the end of a fault that lasts for some seconds from now on."""
        until = self.deployment.clock.monotonic() + timedelta(seconds=seconds)
        self.faults_until = max(self.faults_until, until)
        return until

    @rule(seconds=st.sampled_from((0.005, 0.5, 2, 4)))
    def wait(self, seconds):
        self.run(self.observe(seconds))

    @rule()
    def lose_worker(self):
        async def lose():
            self.leave(self.busy_worker())
            self.add_worker()

        self.run(lose())

    @rule()
    def drain_worker(self):
        async def end_later(name):
            await self.deployment.clock.sleep(NOTICE)
            self.leave(name)

        async def drain():
            name = self.busy_worker()
            self.deployment.list_worker(name, draining=True, remaining=NOTICE)
            self.deployment.spawn(end_later(name))
            self.add_worker()

        self.run(drain())

    @rule(machine=st.sampled_from(MACHINES))
    def kill(self, machine):
        async def replace():
            await self.deployment.end_process(machine)
            self.deployment.start_process(machine)

        self.run(replace())

    async def replace_leaders(self):
        for machine in self.deployment.leading():
            await self.deployment.leaders[machine].resign()

    @rule()
    def resign(self):
        self.run(self.replace_leaders())

    @rule()
    def end_the_next_term_during_its_recovery(self):
        async def end():
            terms = len(self.deployment.log.named('leadership_gained'))
            await self.replace_leaders()
            for _ in range(2000):
                await self.observe(0.001)
                if len(self.deployment.log.named('leadership_gained')) > terms:
                    break
            await self.replace_leaders()

        self.run(end())

    @rule(seconds=st.sampled_from((0.3, 2)))
    def cut_leaders_from_the_store(self, seconds):
        for machine in self.deployment.leading():
            self.deployment.store_links[machine].refused_until = self.fault(seconds)

    @rule(seconds=st.sampled_from((0.3, 2)))
    def refuse_writes(self, seconds):
        for machine in MACHINES:
            self.deployment.store_links[machine].read_only_until = self.fault(seconds)

    @rule(seconds=st.sampled_from((0.5, 2)), machine=st.sampled_from(MACHINES))
    def cut_worker(self, seconds, machine):
        async def cut():
            links = self.deployment.worker_links[self.busy_worker()]
            links[machine].cut_until = self.fault(seconds)

        self.run(cut())

    def teardown(self):
        try:
            self.run(self.observe(IDLE_LIMIT + 2))
            assert not self.deployment.observer.violations
        finally:
            self.run(self.deployment.close())
            self.runner.close()


TestLastingTasks = LastingTasks.TestCase
TestLastingTasks.settings = settings(
    max_examples=int(os.environ.get('LASTING_EXAMPLES', '8')),
    stateful_step_count=14,
    derandomize=True,
    deadline=None,
    phases=[Phase.generate],
)
