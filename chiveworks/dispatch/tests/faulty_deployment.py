"""In-memory deployment of which each process has its own links to store and workers."""

import functools
from collections import defaultdict

from chiveworks.base import EntryId
from chiveworks.dispatch import Leader, WorkerInfo
from chiveworks.dispatch.tests.deployment import EAGER, InMemoryDeployment
from chiveworks.dispatch.tests.faulty_links import StoreLink, WorkerLink
from chiveworks.dispatch.tests.observed_runner import (
    ObservedRunner,
    RunObserver,
    WorkerClock,
)
from chiveworks.metastore import Election, Replica


class FaultyDeployment(InMemoryDeployment):
    """Deployment with processes on machines whose links can fail one by one.

    Args:
        machines: Names of the machines.
        rng: Draws the fates of writes whose responses are lost.

    Attributes:
        observer: Checks the runs.
        store_links: Links of the machines to the store.
        worker_links: Links of the machines to the workers, by worker and machine.
    """

    def __init__(self, machines, rng):
        super().__init__(workers=0)
        self.observer = RunObserver(self.runners)
        self.store_links = {
            machine: StoreLink(self.store, self.clock, rng, self.spawn)
            for machine in machines
        }
        self.worker_links = defaultdict(dict)
        self._processes = {}

    def add_observed_worker(self, name, cores, clock_start, clock_rate):
        """Adds a worker with its own clock."""
        worker_clock = WorkerClock(self.clock, clock_start, clock_rate)
        self.add_worker(name, cores)
        runner = ObservedRunner(worker_clock, self.observer, name)
        self.runners[name] = runner
        for machine in self.store_links:
            link = WorkerLink(runner, self.clock, self.spawn)
            self.worker_links[name][machine] = link
        self.list_worker(name)

    def list_worker(self, name, **fields):
        """Writes the entry of a worker."""
        runner = self.runners[name]
        self.change_worker(name, born_ms=runner.born_ms, **fields)
        self.infos[name]['written_at'] = runner._clock.monotonic()

    def is_listed(self, name):
        """Whether the store has an entry of a worker."""
        return f'workers/{name}' in self.store.items

    def start_process(self, machine):
        """Starts a process on a machine, which campaigns for leadership."""
        store = self.store_links[machine]
        election = Election(store, self.clock, self.log, EntryId(machine), EAGER)
        leader = Leader(
            store,
            self.clock,
            self.log,
            election,
            functools.partial(self._create_linked_scheduler, machine),
            functools.partial(self._follow_through, store),
        )
        self.leaders[machine] = leader
        self._processes[machine] = (
            self.spawn(election.leader.run()),
            self.spawn(leader.run()),
        )

    async def end_process(self, machine):
        """Ends the process on a machine, if any, without a resignation."""
        for task in self._processes.pop(machine, ()):
            await self.kill(task)

    def has_process(self, machine):
        """Whether a process runs on a machine."""
        return machine in self._processes

    def leading(self):
        """Returns the machines whose processes lead or still believe to do so."""
        return [
            machine
            for machine in sorted(self._processes)
            if self.leaders[machine].scheduler is not None
        ]

    def _create_linked_scheduler(self, machine, term):
        scheduler = self._create_scheduler(term)
        scheduler.fleet._connect = lambda info: self.worker_links[info.address][machine]
        return scheduler

    def _follow_through(self, store):
        def decode(name, _content):
            return WorkerInfo(**self.infos[name])

        return Replica(store, 'workers/', decode, self.clock, self.log)
