"""The workers in the platform's list, each with a session during the term."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from contextlib import AsyncExitStack
from datetime import timedelta
from typing import Any

from chiveworks.base import Clock, WorkerId
from chiveworks.dispatch._claim_ledger import ClaimLedger
from chiveworks.dispatch._lease_handover import LeaseHandover
from chiveworks.dispatch._worker_control import WorkerControl
from chiveworks.dispatch._worker_info import WorkerInfo
from chiveworks.dispatch._worker_lease import WorkerLease
from chiveworks.dispatch._worker_session import WorkerSession
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.events import EventLog
from chiveworks.workflow import UNKNOWN_PACE, LapsedRun, Task, TaskState


class Fleet:
    """Opens a session for each listed worker and drops it after the worker has left.

    The fleet owns the clients of the workers: it closes them when the session ends,
    those of former addresses as well, and the remaining ones with `close`.

    Args:
        clock: Source of time.
        log: Event log for changes of the worker list.
        leases: Opens the leases of workers.
        connect: Returns the client of a worker.
        open_session: Creates the session of a worker.
        spawn: Runs a coroutine in the background until the term ends.
        ledger: Counts the runs of each account, also on workers that are not known.

    Attributes:
        workers: Workers by id.
        sessions: Sessions of the workers by id.
    """

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        leases: LeaseHandover,
        connect: Callable[[WorkerInfo], WorkerControl],
        open_session: Callable[[WorkerView], WorkerSession],
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]],
        ledger: ClaimLedger,
    ) -> None:
        self.workers: dict[WorkerId, WorkerView] = {}
        self.sessions: dict[WorkerId, WorkerSession] = {}
        self._orphans: dict[WorkerId, tuple[WorkerLease, list[Task]]] = {}
        self._lapsed: dict[WorkerId, str] = {}
        self._open_controls: dict[WorkerId, AsyncExitStack] = {}
        self._clock = clock
        self._log = log
        self._leases = leases
        self._connect = connect
        self._open_session = open_session
        self._spawn = spawn
        self._ledger = ledger

    def update(self, worker_id: str, info: WorkerInfo | None) -> None:
        """Applies a change of the platform's list; None removes the worker."""
        worker = self.workers.get(WorkerId(worker_id))
        if info is None:
            if worker is not None:
                worker.listed = False
                self._log.write('worker_unlisted', worker=worker_id)
            return
        if worker is None:
            self._add(info)
            return
        if info.draining and not worker.info.draining:
            left = info.remaining and info.remaining.total_seconds()
            self._log.write('worker_draining', worker=worker_id, remaining_s=left)
        address_changed = info.address != worker.info.address
        worker.info = info
        worker.listed = True
        if address_changed:
            worker.control = self._open_control(info)
        if not worker.live:
            self.sessions[worker.worker_id].wake()

    def adopt(self, task: Task) -> None:
        """Takes over a run from an earlier term.

        The worker either lists the run in its first report or does not have it: the
        first poll carries the fencing token of this term, after which the worker
        refuses orders of the earlier term.

        A stop that the earlier leader decided on for a run that may go on, such as a
        move, is dropped: it depended on what that leader knew of other workers.
        """
        now = self._clock.monotonic()
        if task.state is TaskState.STOPPING and _may_go_on(task):
            task.state = TaskState.RUNNING
        # The earlier leader may have paused the run.
        task.pace_percent = UNKNOWN_PACE if task.spec.fills else task.pace_percent
        task.started_at = now
        task.progressed_at = now
        worker_id = task.worker or WorkerId('')
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.add(task)
            return
        if worker_id not in self._orphans:
            self._orphans[worker_id] = (self._leases.open(worker_id), [])
        self._orphans[worker_id][1].append(task)
        self._ledger.hold(task)

    def follow_lapsed(self, lapsed: LapsedRun) -> None:
        """Has a worker asked whether it crashed before its lease lapsed."""
        self._lapsed[lapsed.worker] = lapsed.address

    def record_unreached(self) -> None:
        """Records all workers with adopted runs once the state is restored.

        Those that are not listed are logged. A session is opened if the address is
        known: the worker may still respond, and another incarnation there shows that it
        has crashed.
        """
        self._leases.end_recovery(self.unreached_leases())
        now = self._clock.monotonic()
        for worker_id, (lease, tasks) in tuple(self._orphans.items()):
            self._log.write(
                'worker_missing',
                worker=worker_id,
                runs=len(tasks),
                lease_left_s=lease.time_left(now).total_seconds(),
            )
            address = next(filter(None, (task.worker_address for task in tasks)), '')
            self._add_unlisted(worker_id, address)
        for lapsed_id, address in self._lapsed.items():
            self._add_unlisted(lapsed_id, address)

    def lapsed_orphans(self) -> list[Task]:
        """Removes and returns adopted runs whose worker never appeared.

        They are returned once the lease of the worker has certainly lapsed.
        """
        now = self._clock.monotonic()
        lapsed = [
            worker_id
            for worker_id, (lease, _tasks) in self._orphans.items()
            if lease.lapsed(now)
        ]
        orphans = [
            task for worker_id in lapsed for task in self._orphans.pop(worker_id)[1]
        ]
        for task in orphans:
            self._ledger.drop(task)
        return orphans

    def check_lapses(self) -> None:
        """Releases the runs of silent workers whose leases have certainly lapsed."""
        for worker in tuple(self.workers.values()):
            if worker.tasks and not worker.live:
                self.sessions[worker.worker_id].check_lapse()

    def unreached_leases(self) -> dict[WorkerId, WorkerLease]:
        """Returns the leases of the workers that have runs and are out of reach."""
        leases = {worker_id: lease for worker_id, (lease, _) in self._orphans.items()}
        for worker in self.workers.values():
            if worker.tasks and not worker.live:
                leases[worker.worker_id] = worker.lease
        return leases

    async def close(self) -> None:
        """Closes the clients of all workers once their sessions have ended."""
        async with AsyncExitStack() as controls:
            while self._open_controls:
                _, opened = self._open_controls.popitem()
                controls.push_async_callback(opened.aclose)

    def runs(self) -> Iterator[Task]:
        """Yields the tasks whose runs have not certainly ended."""
        for worker in self.workers.values():
            yield from worker.tasks.values()
        for _lease, orphans in self._orphans.values():
            yield from orphans

    def runs_of_ended_jobs(self) -> list[timedelta]:
        """Returns for each run of an ended job the time since the job's end."""
        now = self._clock.monotonic()
        return [
            now - ended_at
            for task in self.runs()
            if (ended_at := task.step_run.job.ended_at) is not None
        ]

    def _add(self, info: WorkerInfo, *, listed: bool = True) -> None:
        lease, orphans = self._orphans.pop(info.worker_id, (None, ()))
        worker = WorkerView(
            info,
            self._open_control(info),
            lease or self._leases.open(info.worker_id),
            self._ledger,
        )
        # Tells a restart that an earlier leader has not seen.
        worker.born_ms = info.born_ms
        worker.listed = listed
        for task in orphans:
            worker.add(task)
            self._ledger.drop(task)
        session = self._open_session(worker)
        self.workers[info.worker_id] = worker
        self.sessions[info.worker_id] = session
        self._spawn(self._run_session(worker, session))

    def _add_unlisted(self, worker_id: WorkerId, address: str) -> None:
        if address and worker_id not in self.workers:
            self._add(WorkerInfo.unlisted(worker_id, address), listed=False)

    def _open_control(self, info: WorkerInfo) -> WorkerControl:
        control = self._connect(info)
        controls = self._open_controls.setdefault(info.worker_id, AsyncExitStack())
        controls.push_async_callback(control.close)
        return control

    async def _run_session(self, worker: WorkerView, session: WorkerSession) -> None:
        await session.run()
        # The worker may be listed again while its clients are being closed.
        self.workers.pop(worker.worker_id)
        self.sessions.pop(worker.worker_id)
        # Whoever made them may find the worker by its id only.
        for task in tuple(worker.reservations.values()):
            worker.free_reservation(task)
        await self._open_controls.pop(worker.worker_id).aclose()


def _may_go_on(task: Task) -> bool:
    # The other members of a gang may have been stopped already.
    return not (task.step_run.job.state.terminal or task.spec.gang)
