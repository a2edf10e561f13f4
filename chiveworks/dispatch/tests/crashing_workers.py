"""Workers that crash when they start certain tasks, for tests of such tasks."""

from collections import Counter
from datetime import timedelta

from result import Ok

from chiveworks.base import JobId, Resources
from chiveworks.dispatch import EndKind, OrderOutcome
from chiveworks.dispatch.tests.deployment import InMemoryDeployment, start_leader
from chiveworks.dispatch.tests.lasting_runner import LastingRunner
from chiveworks.workflow import JobState, QueuePolicy, StepSpec, TaskRef

CORE = Resources(1000, 1)
#: Queue whose jobs are neither late nor expired during a test.
QUEUE = QueuePolicy('q', 'pool', attempt_limit=3, latency_objective=timedelta(hours=1))
RUN_TIME = timedelta(seconds=1)
#: Time from a start to the crash, and from the crash to the next incarnation, as on the
#: platform.
CRASH_DELAY = timedelta(milliseconds=10)
DOWNTIME = timedelta(seconds=3.3)
#: Time from a crash to the end of the leader that has seen it.
LEADER_DELAY = timedelta(milliseconds=100)
#: Time after a worker's last heartbeat at which the platform removes its entry.
UNLISTED_AFTER = timedelta(seconds=3)
#: Maximum number of starts of a task that crashes its workers.
START_LIMIT = 4


class CrashingRunner(LastingRunner):
    """Worker that crashes soon after it has started a deadly task.

    Args:
        clock: Clock of the worker.
        fleet: Fleet that the worker belongs to.
        name: Id of the worker.

    Attributes:
        replaced: Whether a worker with another id responds at this address.
    """

    def __init__(self, clock, fleet, name):
        super().__init__(clock, RUN_TIME)
        self.replaced = False
        self._fleet = fleet
        self._name = name
        self._crash_due = False

    async def poll(self, token, acknowledged, lease_end, wait, born_ms=0):
        if self.replaced:
            return Ok(None)
        return await super().poll(token, acknowledged, lease_end, wait, born_ms)

    def lose_runs(self):
        """Ends all runs and forgets everything, as the end of an incarnation does."""
        self.reachable = False
        self.token = 0
        self._crash_due = False
        self._runs.clear()
        self._ends.clear()
        self._end_count = 0
        self._highest_ended_attempt.clear()

    def end(self, ref, kind):
        """Ends the current run of a task."""
        self._end(ref, kind)

    def _start(self, order):
        if self.replaced:
            return OrderOutcome.GONE
        outcome = super()._start(order)
        if order.ref in self._fleet.deadly and not self._crash_due:
            self._crash_due = order.ref in self._runs
            if self._crash_due:
                self._fleet.deployment.spawn(self._fleet.crash(self._name))
        return outcome


class CrashingFleet:
    """Deployment of workers that crash when they start a deadly task.

    Args:
        workers: Number of workers.
        cores: Cores of each worker.
        keeps_id: Whether a worker has the same id after a crash.

    Attributes:
        deployment: Deployment that the workers belong to.
        deadly: Tasks that crash the workers that start them.
        downtime: Time from a crash to the next incarnation.
        crash_delay: Time from the start of a deadly task to the crash.
        on_crash: Called after each crash; returns what then runs in the background.
        crash_count: Number of crashes.
    """

    def __init__(self, workers=3, cores=4, *, keeps_id=False):
        self.deployment = InMemoryDeployment(workers=0)
        self.deadly = set()
        self.downtime = DOWNTIME
        self.crash_delay = CRASH_DELAY
        self.on_crash = None
        self.crash_count = 0
        self.process = None
        self._process_count = 0
        self._keeps_id = keeps_id
        self._cores = cores
        self._names = 0
        for _ in range(workers):
            self.add_worker()

    async def start(self):
        """Starts the first leader."""
        self.process = await start_leader(self.deployment, self._next_process())
        await self.deployment.wait(0.5)

    def add_worker(self):
        """Adds a worker; returns its id."""
        name = f'w{self._names}'
        self._names += 1
        self.deployment.add_worker(name, self._cores)
        runner = CrashingRunner(self.deployment.clock, self, name)
        self.deployment.runners[name] = runner
        self.deployment.change_worker(name, born_ms=runner.born_ms)
        return name

    async def submit(self, name, *steps, deadly=()):
        """Submits a job; `deadly` names tasks as pairs of step and position."""
        self.deadly |= {TaskRef(JobId(name), 0, *pair) for pair in deadly}
        await self.deployment.submit(
            name, *(steps or (StepSpec(1, CORE),)), queue=QUEUE
        )

    async def crash(self, name):
        """Crashes a worker after `crash_delay` and brings it back after `downtime`."""
        runner = self.deployment.runners[name]
        await self.deployment.clock.sleep(self.crash_delay)
        runner.lose_runs()
        self.crash_count += 1
        if self.on_crash is not None:
            self.deployment.spawn(self.on_crash())
        listed = min(self.downtime, UNLISTED_AFTER)
        await self.deployment.clock.sleep(listed)
        self.deployment.store.remove(f'workers/{name}')
        await self.deployment.clock.sleep(self.downtime - listed)
        self.bring_back(name, keeps_id=self._keeps_id)

    def bring_back(self, name, *, keeps_id):
        """Starts the next incarnation of a worker."""
        runner = self.deployment.runners[name]
        runner.reachable = True
        if keeps_id:
            runner.born_ms += 1
            self.deployment.change_worker(
                name, draining=False, remaining=None, born_ms=runner.born_ms
            )
        else:
            runner.replaced = True
            self.deployment.store.remove(f'workers/{name}')
            self.add_worker()

    async def replace_leader(self):
        """Replaces the leader after `LEADER_DELAY`."""
        await self.deployment.clock.sleep(LEADER_DELAY)
        old = self.process
        self.process = self.deployment.process(self._next_process())
        await self.deployment.kill(old)

    async def break_gang(self, name):
        """Ends the runs of a gang's members that are left without the others."""
        await self.deployment.clock.sleep(timedelta(milliseconds=50))
        for runner in self.deployment.runners.values():
            for ref in runner.running:
                if ref.job_id == name:
                    runner.end(ref, EndKind.GANG_BROKEN)

    def running(self):
        """Returns the number of current runs of each job."""
        return Counter(
            ref.job_id
            for runner in self.deployment.runners.values()
            for ref in runner.running
        )

    def start_counts(self):
        """Returns the number of starts of each deadly task."""
        starts = Counter(self.deployment.starts())
        return [starts[ref] for ref in sorted(self.deadly)]

    async def check_given_up(self, *names):
        """Checks that deadly tasks were started seldom and that their jobs failed."""
        counts = self.start_counts()
        assert min(counts) > 0
        assert max(counts) <= START_LIMIT, f'starts: {counts}'
        for name in names:
            assert await self.deployment.state(name) is JobState.FAILED

    def _next_process(self):
        self._process_count += 1
        return f'p{self._process_count}'
