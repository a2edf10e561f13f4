"""State machine: the leader changes between any two steps, and nothing is lost."""

import asyncio
import random
from datetime import timedelta

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from chiveworks.base import JobId, Resources
from chiveworks.dispatch.tests.faulty_deployment import FaultyDeployment
from chiveworks.workflow import JobState, QueuePolicy, StepSpec

MACHINES = ('a', 'b')
WORKERS = ('w0', 'w1', 'w2')
CORE = Resources(1000, 1)
QUEUE = QueuePolicy('q', 'pool', attempt_limit=3, latency_objective=timedelta(hours=1))
RUN_TIME = timedelta(milliseconds=600)
#: Time within which everything has to be as without changes of the leader: the lease of
#: a worker that is out of reach, a new term, two runs and a stall.
SETTLE_S = 16


class ChangesOfLeader(RuleBasedStateMachine):
    """Submits, cancels and stalls work while leaders resign, die and lose the store."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.open = []
        self.cancelled = []
        self.count = 0
        self.run(self.set_up())

    def run(self, work):
        return self.runner.run(work)

    async def set_up(self):
        self.deployment = FaultyDeployment(MACHINES, random.Random(1))
        for number, name in enumerate(WORKERS):
            start = timedelta(seconds=100 * number)
            self.deployment.add_observed_worker(name, 4, start, 1)
            self.deployment.runners[name]._duration = RUN_TIME
        for machine in MACHINES:
            self.deployment.start_process(machine)
        await self.deployment.wait(0.5)

    async def submit_steps(self, *steps):
        name = f'j{self.count}'
        self.count += 1
        await self.deployment.submit(name, *steps, queue=QUEUE)
        self.open.append(name)

    @rule(count=st.integers(1, 6))
    def submit(self, count):
        later = StepSpec(2, CORE, after=(0,))
        self.run(self.submit_steps(StepSpec(count, CORE), later))

    @rule()
    def submit_gang(self):
        self.run(self.submit_steps(StepSpec(2, CORE, gang=True)))

    @precondition(lambda self: self.open)
    @rule(data=st.data())
    def cancel(self, data):
        name = data.draw(st.sampled_from(self.open))
        self.open.remove(name)
        self.cancelled.append(name)

        async def request():
            self.deployment.spawn(self.deployment.intake.cancel(JobId(name)))

        self.run(request())

    @rule(worker=st.sampled_from(WORKERS), stalled=st.booleans())
    def stall(self, worker, stalled):
        self.deployment.runners[worker].stall_runs = stalled

    @rule(seconds=st.sampled_from((0.02, 0.1, 0.4, 1)))
    def wait(self, seconds):
        self.run(self.deployment.wait(seconds))

    @rule(machine=st.sampled_from(MACHINES))
    def kill(self, machine):
        async def replace():
            await self.deployment.end_process(machine)
            self.deployment.start_process(machine)

        self.run(replace())

    @rule()
    def resign(self):
        async def resign():
            for machine in self.deployment.leading():
                await self.deployment.leaders[machine].resign()

        self.run(resign())

    @rule(seconds=st.sampled_from((0.3, 2)))
    def cut_leaders_from_the_store(self, seconds):
        """A longer cut outlasts the lease, so that two may believe to lead."""
        until = self.deployment.clock.monotonic() + timedelta(seconds=seconds)
        for machine in self.deployment.leading():
            self.deployment.store_links[machine].refused_until = until

    def teardown(self):
        try:
            self.run(self.check())
        finally:
            self.run(self.deployment.close())
            self.runner.close()

    async def check(self):
        for runner in self.deployment.runners.values():
            runner.stall_runs = False
        await self.deployment.wait(SETTLE_S)
        assert not self.deployment.observer.violations
        for name in self.open:
            assert await self.deployment.state(name) is JobState.COMPLETED, name
        allowed = {JobState.CANCELLED, JobState.COMPLETED}
        for name in self.cancelled:
            assert await self.deployment.state(name) in allowed, name
        assert not any(runner.running for runner in self.deployment.runners.values())


TestChangesOfLeader = ChangesOfLeader.TestCase
TestChangesOfLeader.settings = settings(
    max_examples=12,
    stateful_step_count=12,
    derandomize=True,
    deadline=None,
    phases=[Phase.generate],
)
