"""Campaigns for leadership and schedules while this process is the leader."""

import asyncio
import re
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any, Final, Protocol

from result import Err

from chiveworks.base import Clock, JobId
from chiveworks.dispatch._scheduler import Scheduler
from chiveworks.dispatch._worker_info import WorkerInfo
from chiveworks.events import EventLog
from chiveworks.metastore import (
    JOB_PREFIX,
    HANDOVER_KEY,
    LEASES_KEY,
    PRESSURE_KEY,
    PROGRESS_PREFIX,
    Election,
    MetadataStore,
    Replica,
    Term,
)
from chiveworks.workflow import (
    JobState,
    Submission,
    TaskState,
    Tombstone,
    decode_record,
)

#: Pause after a term that an error ended, in which other processes may lead.
FAILED_TERM_PAUSE: Final = timedelta(seconds=1)
#: Time within which a new leader must restore the stored state. The lease is renewed
#: meanwhile, so without a limit a leader that cannot read the state would keep others
#: from leading. A slow process needs up to 2 s; some failed calls are allowed for.
RECOVERY_TIMEOUT: Final = timedelta(seconds=5)
#: Pause before a failed listing is repeated during the recovery.
RECOVERY_RETRY_PAUSE: Final = timedelta(milliseconds=60)

_JOB_ID: Final = re.compile('[!-~]+')
_Record = Submission | JobState | Tombstone


class RecoveryTimeoutError(Exception):
    """The stored state was not restored within `RECOVERY_TIMEOUT`."""


class SchedulerFactory(Protocol):
    """Creates the scheduler of a leadership term."""

    def __call__(self, term: Term) -> Scheduler:
        """Returns a scheduler that sends its orders under `term`."""


class Leader:
    """Runs the scheduler in each term that this process wins.

    Args:
        store: Metadata store that lists jobs and workers.
        clock: Source of time.
        log: Event log for terms.
        election: Decides which process leads.
        create_scheduler: Creates the scheduler of a term.
        follow_workers: Returns a replica of the workers' entries.
        renew: Renews the lease of a term until the term is lost.

    Attributes:
        scheduler: Scheduler of the current term; None while not leading.
    """

    def __init__(
        self,
        store: MetadataStore,
        clock: Clock,
        log: EventLog,
        election: Election,
        create_scheduler: SchedulerFactory,
        follow_workers: Callable[[], Replica[WorkerInfo]],
        renew: Callable[[Term], Coroutine[Any, Any, None]] = Term.renew_until_lost,
    ) -> None:
        self._store = store
        self._clock = clock
        self._log = log
        self._election = election
        self._create_scheduler = create_scheduler
        self._follow_workers = follow_workers
        self._renew = renew
        self._term: Term | None = None
        self.scheduler: Scheduler | None = None

    async def run(self) -> None:
        """Campaigns and leads until cancelled; an error ends only the term."""
        while True:
            try:
                await self._run_term()
            except Exception as error:
                self._log.write(
                    'term_failed', error=repr(error), cause=repr(error.__cause__)
                )
                await self._clock.sleep(FAILED_TERM_PAUSE)

    async def resign(self) -> None:
        """Gives up the leadership if this process holds it."""
        if self._term is not None and self._term.valid:
            await self._term.resign()

    async def _run_term(self) -> None:
        self._term = await self._election.campaign()
        try:
            await self._lead(self._term)
        except Exception as error:
            self._term.end(f'an error ended the term: {error!r}')
            await self._term.resign()
            raise

    async def _lead(self, term: Term) -> None:
        scheduler = self._create_scheduler(term)
        try:
            self.scheduler = scheduler
            scheduler.spawn(self._renew(term))
            scheduler.spawn(self._election.watch_term(term))
            scheduler.spawn(term.keep_confirmed())
            for watch in await self._recover_in_time(term, scheduler):
                scheduler.spawn(watch)
            await scheduler.run()
            # The scheduler may notice the end before the renewal of the lease does.
            term.end('the lease was not renewed in time')
        finally:
            self.scheduler = None
            await scheduler.close()

    async def _recover_in_time(
        self, term: Term, scheduler: Scheduler
    ) -> list[Coroutine[Any, Any, None]]:
        task = asyncio.current_task()
        timer = asyncio.create_task(self._limit_recovery(term, scheduler, task))
        try:
            return await self._recover(term, scheduler)
        except asyncio.CancelledError:
            # Another cancellation ends the process and must not be lost.
            if not timer.done() or task is None or task.uncancel():
                raise
            raise RecoveryTimeoutError from None
        finally:
            timer.cancel()

    async def _limit_recovery(
        self,
        term: Term,
        scheduler: Scheduler,
        recovery: 'asyncio.Task[Any] | None',
    ) -> None:
        deadline = self._clock.monotonic() + RECOVERY_TIMEOUT
        while self._clock.monotonic() < deadline:
            # Only a process whose event loop is not stalled gets here.
            term.note_progress()
            scheduler.leases.refresh()
            await self._clock.sleep(RECOVERY_RETRY_PAUSE)
        # The lease is no longer renewed from here on, even if the recovery is slow to
        # react to its cancellation.
        term.end(f'not recovered within {RECOVERY_TIMEOUT.total_seconds():g} s')
        if recovery is not None:
            recovery.cancel()

    async def _recover(
        self, term: Term, scheduler: Scheduler
    ) -> list[Coroutine[Any, Any, None]]:
        """Restores the stored state; returns coroutines that follow later changes."""
        started_at = self._clock.monotonic()
        await self._inherit_leases(term, scheduler)
        progress = await self._read_progress(term)
        waits = await self._store.read(HANDOVER_KEY)
        if not isinstance(waits, Err) and waits.ok_value.content:
            scheduler.handover.inherit(waits.ok_value.content)
        learned = await self._store.read(PRESSURE_KEY, stale=True)
        if not isinstance(learned, Err) and learned.ok_value.content:
            self._load_model(scheduler, learned.ok_value.content)
        workers = self._follow_workers()
        workers.subscribe(scheduler.fleet.update)
        scheduler.capacity.inherit(self._election.capacity)
        scheduler.capacity.follow(lambda: workers.last_success_at)
        jobs: Replica[_Record] = Replica(
            self._store, JOB_PREFIX, _decode_record, self._clock, self._log
        )

        def accept_record(name: str, record: _Record | None) -> None:
            term.note_progress()
            if term.lost.is_set():
                # A listing may succeed after the recovery was given up.
                return
            scheduler.final_records.observe(JobId(name), record, jobs.revision(name))
            if isinstance(record, Submission):
                scheduler.accept(record, progress.pop(name, None))

        jobs.subscribe(accept_record)
        # Jobs come first: the runs that a worker lists can only be reconciled once all
        # jobs are known.
        for replica in (jobs, workers):
            while term.valid and not replica.synced:
                if not await replica.step():
                    await self._clock.sleep(RECOVERY_RETRY_PAUSE)
        states = [task.state for task in scheduler.fleet.runs()]
        took = self._clock.monotonic() - started_at
        self._log.write(
            'state_recovered',
            token=term.token,
            jobs=len(scheduler.table.jobs),
            workers=len(workers.entries),
            runs=len(states),
            runs_stopping=states.count(TaskState.STOPPING),
            took_s=took.total_seconds(),
        )
        scheduler.fleet.record_unreached()
        return [workers.run(), jobs.run()]

    def _load_model(self, scheduler: Scheduler, stored: bytes) -> None:
        try:
            scheduler.model.load(stored)
        except ValueError as error:
            self._log.write('entry_skipped', key=PRESSURE_KEY, reason=str(error))

    async def _inherit_leases(self, term: Term, scheduler: Scheduler) -> None:
        """Takes over the record of leases, and begins to write with that of this term."""
        while term.valid:
            result = await self._store.read(LEASES_KEY)
            if not isinstance(result, Err):
                scheduler.leases.inherit(result.ok_value.content)
                scheduler.begin_writing()
                return
            await self._clock.sleep(RECOVERY_RETRY_PAUSE)

    async def _read_progress(self, term: Term) -> dict[str, bytes]:
        while term.valid:
            result = await self._store.read_all(PROGRESS_PREFIX)
            if not isinstance(result, Err):
                return {
                    item.key[len(PROGRESS_PREFIX) :]: item.content
                    for item in result.ok_value.items
                    if item.content is not None
                }
            await self._clock.sleep(RECOVERY_RETRY_PAUSE)
        return {}


def _decode_record(name: str, content: bytes) -> _Record:
    # The names of tasks begin with the id and a full stop.
    if '.' in name or not _JOB_ID.fullmatch(name):
        raise ValueError('the id of the job has an odd character, or none')
    return decode_record(JobId(name), content)
