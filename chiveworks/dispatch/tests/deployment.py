"""In-memory deployment for tests of the dispatcher."""

import asyncio
from dataclasses import replace
from datetime import timedelta

from result import Ok

from chiveworks.base import (
    AccountName,
    EntryId,
    JobId,
    ManualClock,
    Resources,
    WorkerId,
    ZoneName,
)
from chiveworks.dispatch import Advice, Leader, Scheduler, SchedulingBounds, WorkerInfo
from chiveworks.events import EventLog
from chiveworks.intake import JobIntake
from chiveworks.metastore import Candidacy, Election, Replica
from chiveworks.workflow import JobSpec, QueuePolicy, StepSpec, Submission
from standins.metadata import MemoryMetadataStore
from standins.runners import LEASE_LIMIT, MemoryRunner

GIGABYTE = 1024**3
BOUNDS = SchedulingBounds(
    LEASE_LIMIT,
    timedelta(milliseconds=900),
    timedelta(milliseconds=250),
    timedelta(seconds=120),
)
QUEUE = QueuePolicy('urgent', 'pool', attempt_limit=3)
#: Contends for leadership without a delay.
EAGER = Candidacy(cores=1_000_000)


class RecordingLog(EventLog):
    """Records events instead of writing them."""

    def __init__(self, clock):
        super().__init__(clock, {})
        self.events = []

    def write(self, event, **fields):
        self.events.append((event, fields))

    def named(self, event):
        return [fields for name, fields in self.events if name == event]


class SingleWorkerAdvisor:
    """Policy that allows one worker and counts its calls."""

    def __init__(self):
        self.calls = 0
        self.allowed = 'w1'

    async def advise(self, job_id, occurrence, step, workers):
        self.calls += 1
        tickets = {worker: 'ticket' for worker in workers if worker == self.allowed}
        return Ok(Advice(tickets, timedelta(seconds=3)))


class InMemoryDeployment:
    """Workers, a store, and any number of processes that campaign for leadership."""

    def __init__(self, workers=2, cores=4):
        self.clock = ManualClock()
        self.store = MemoryMetadataStore(self.clock)
        self.log = RecordingLog(self.clock)
        self.runners = {}
        self.infos = {}
        self.evacuated = set()
        self.leaders = {}
        self.advisor = SingleWorkerAdvisor()
        self.accounts = None
        self.account_overrun = 0
        self.intake = JobIntake(self.store, self.clock, self.log)
        self._tasks = []
        for number in range(workers):
            self.add_worker(f'w{number}', cores)

    def add_worker(self, name, cores=4, **fields):
        self.runners[name] = MemoryRunner(self.clock)
        self.change_worker(
            name, capacity=Resources(cores * 1000, 64 * GIGABYTE), **fields
        )

    def change_worker(self, name, **fields):
        known = {
            'worker_id': WorkerId(name),
            'service': 'pool',
            'address': name,
            'zone': ZoneName('zone'),
            'draining': False,
        }
        known.update(self.infos.get(name, {}))
        known.update({'written_at': self.clock.monotonic(), **fields})
        self.infos[name] = known
        self.store.put(f'workers/{name}', b'%d' % self.clock.monotonic().microseconds)

    def process(self, name):
        """Starts a process that campaigns for leadership; returns its task."""
        election = Election(self.store, self.clock, self.log, EntryId(name), EAGER)
        leader = Leader(
            self.store,
            self.clock,
            self.log,
            election,
            self._create_scheduler,
            self._follow_workers,
        )
        self.leaders[name] = leader
        self.spawn(election.leader.run())
        return self.spawn(leader.run())

    def spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.append(task)
        return task

    async def kill(self, task):
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def close(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def submit(self, name, *steps, queue=QUEUE, account=''):
        spec = JobSpec('payload', tuple(steps) or (StepSpec(1, Resources(1000, 1)),))
        submission = Submission(
            JobId(name),
            queue,
            spec,
            accepted_at=self.clock.now(),
            account=AccountName(account),
        )
        call = self.spawn(self.intake.submit(submission))
        await self.clock.advance(timedelta(milliseconds=50))
        return call.result()

    async def state(self, name):
        call = self.spawn(self.intake.state(JobId(name)))
        await self.clock.advance(timedelta(milliseconds=50))
        return call.result()

    async def wait(self, seconds):
        await self.clock.advance(timedelta(seconds=seconds))

    def starts(self):
        """Returns the tasks that workers have started, in any order."""
        return [
            entry[1]
            for runner in self.runners.values()
            for entry in runner.history
            if entry[0] == 'start'
        ]

    def done(self):
        """Returns the tasks that workers have completed."""
        return [
            entry[1]
            for runner in self.runners.values()
            if runner.running is not None
            for entry in runner.history
            if entry[0] == 'done'
        ]

    def _create_scheduler(self, term):
        return Scheduler(
            term,
            self.clock,
            self.log,
            replace(BOUNDS, account_overrun=self.account_overrun),
            lambda info: self.runners[info.address],
            lambda job: job.queue.service,
            lambda zone: zone in self.evacuated,
            self.advisor,
            lambda: self.accounts,
        )

    def _follow_workers(self):
        def decode(name, _content):
            return WorkerInfo(**self.infos[name])

        return Replica(self.store, 'workers/', decode, self.clock, self.log)


async def start_leader(deployment, name='a'):
    """Starts a process and waits until it leads; returns its task."""
    process = deployment.process(name)
    await deployment.wait(0.5)
    return process
