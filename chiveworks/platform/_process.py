"""Scheduler process on the platform."""

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from datetime import timedelta
from pathlib import Path
from typing import Final

from aiohttp import web

from chiveworks.accounts import AccountDirectory, KeyCheck
from chiveworks.base import AccountName, SystemClock, ZoneName, cancel_all
from chiveworks.dispatch import Leader, Scheduler, WorkerInfo
from chiveworks.events import EventLog, EventMetrics
from chiveworks.guard import ClientBudget, GuardedServer, TurnAwayCounts, listen
from chiveworks.intake import (
    CapacityCheck,
    CapacityFollower,
    IntakeLimits,
    JobIntake,
    QueueCatalogue,
    RetryAdvice,
)
from chiveworks.metastore import (
    WATCH_WAIT,
    Candidacy,
    Election,
    LeaseThread,
    Replica,
    Term,
)
from chiveworks.platform._advice_client import HttpAdvisor
from chiveworks.platform._boot_settings import BootSettings, read_boot_settings
from chiveworks.platform._caller_check import CallerCheck
from chiveworks.platform._client_api import ClientApi
from chiveworks.platform._decoding import (
    CONFIG_NAME,
    EVACUATION_PREFIX,
    decode_operator_entry,
    decode_worker,
)
from chiveworks.platform._metadata_client import HttpMetadataStore
from chiveworks.platform._server_log import create_server_logger
from chiveworks.platform._worker_client import HttpWorker
from chiveworks.workflow import Job, Submission

#: Port on which metrics are served; must match the deploy file.
METRICS_PORT: Final = 9464
#: Time since the last successful store call after which the process is not ready.
MAX_STORE_SILENCE: Final = timedelta(seconds=3)
#: Pause between watches of the worker entries, each of which is rewritten every
#: 1.5 s. A tenth of the 2 s after which a draining worker must get no more starts.
WORKERS_WATCH_PAUSE: Final = timedelta(milliseconds=200)
#: Pause before a task of the process that an error ended is run again.
TASK_RESTART_PAUSE: Final = timedelta(milliseconds=250)
#: Interval at which clients that were turned away are logged, in one line.
TURN_AWAY_REPORT_INTERVAL: Final = timedelta(seconds=1)
#: Limits before the first configuration is read.
DEFAULT_LIMITS: Final = IntakeLimits()
#: Time for which requests are served after SIGTERM. The platform takes a machine out
#: of rotation after two failed readiness checks, which it makes once a second.
DRAIN_PERIOD: Final = timedelta(milliseconds=2600)


class PlatformProcess:
    """Serves clients, and schedules tasks while it is the leader.

    Args:
        settings: Settings of the process.
        path: Path of the settings file, which is checked again on SIGHUP.
    """

    def __init__(self, settings: BootSettings, path: Path) -> None:
        self._settings = settings
        self._path = path
        self._clock = SystemClock()
        fields = {'process': settings.process, 'zone': settings.zone}
        self._log = EventLog(self._clock, fields)
        self._metrics = EventMetrics(
            settings.process,
            settings.zone,
            self._queue_lengths,
            self._runs_of_ended_jobs,
            self._account_claims,
            self._account_waits,
        )
        self._log.subscribe(self._metrics.observe)
        self._turned_away = TurnAwayCounts()
        self._front: GuardedServer | None = None
        self._metrics.export_clients(self._turned_away.by_name, self._in_use)
        self._store = HttpMetadataStore(
            settings.store, self._clock, self._observe_store
        )
        self._advisor = HttpAdvisor(settings.advice)
        self._catalogue: QueueCatalogue | None = None
        self._key_check = KeyCheck(settings.revocation_limit)
        self._operator_entries: Replica[QueueCatalogue | str] = Replica(
            self._store, 'op/', decode_operator_entry, self._clock, self._log
        )
        self._operator_entries.subscribe(self._on_operator_entry)
        self._election = Election(
            self._store,
            self._clock,
            self._log,
            settings.process,
            Candidacy(settings.cores),
        )
        self._capacity_check = CapacityCheck(
            self._clock, self._complete_since, settings.bounds.account_overrun
        )
        capacity = CapacityFollower(self._capacity_check, self._log)
        self._election.leader.subscribe(capacity.update)
        self._leader = Leader(
            self._store,
            self._clock,
            self._log,
            self._election,
            self._create_scheduler,
            self._follow_workers,
            LeaseThread(self._open_store).renew,
        )
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Serves until the process receives SIGTERM, and then drains."""
        self._log.open()
        self._log.write('process_starting', cores=self._settings.cores)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._check_settings_file)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._store.close)
            stack.push_async_callback(self._advisor.close)
            replica_tasks = [
                asyncio.create_task(self._keep_running(replica.run))
                for replica in (self._operator_entries, self._election.leader)
            ]
            replica_tasks.append(
                asyncio.create_task(
                    self._keep_running(self._election.challenge_slower_leaders)
                )
            )
            leader_task = asyncio.create_task(self._keep_running(self._leader.run))
            stack.push_async_callback(cancel_all, [leader_task, *replica_tasks])
            await self._listen(stack)
            await self._stopping.wait()
            await self._drain(leader_task)
        self._log.write('process_stopped')

    async def _keep_running(self, run: Callable[[], Awaitable[None]]) -> None:
        """Runs a coroutine until cancelled, anew after an unexpected error."""
        while True:
            try:
                await run()
            except Exception as error:
                self._log.write('task_failed', task=str(run), error=repr(error))
            await self._clock.sleep(TASK_RESTART_PAUSE)

    async def _listen(self, stack: contextlib.AsyncExitStack) -> None:
        intake = JobIntake(
            self._store,
            self._clock,
            self._log,
            lambda: self._store.available,
            self._refusal_reason,
        )
        retry_advice = RetryAdvice()
        client_api = ClientApi(
            intake,
            lambda: self._catalogue,
            self._stopping.is_set,
            self._clock,
            self._log,
            lambda: retry_advice.retry_after_s(self._store.silence),
            CallerCheck(
                self._key_check,
                lambda: self._catalogue,
                lambda: self._operator_entries.confirmed_at,
                self._clock,
            ),
        )
        server_logger = create_server_logger(self._log)
        operators = ClientBudget.for_operators()
        front = self._settings.clients
        for handler, address, budget in (
            (client_api.handle, self._settings.front, front),
            (self._handle_ready, self._settings.ready, operators),
            (self._handle_metrics, (self._settings.front[0], METRICS_PORT), operators),
        ):
            server = GuardedServer(
                handler,
                budget,
                self._limits,
                self._clock,
                self._turned_away,
                logger=server_logger,
                report_unreadable=self._report_unreadable,
            )
            await listen(server, address, budget.backlog, stack)
            self._front = self._front or server
        self._log.write(
            'listening', connections=front.connections, body_bytes=front.body_bytes
        )
        reporting = asyncio.create_task(self._keep_running(self._report_turned_away))
        stack.push_async_callback(cancel_all, [reporting])

    def _report_unreadable(self, kind: str) -> None:
        self._log.write_sparse('request_unreadable', kind, error=kind)

    async def _report_turned_away(self) -> None:
        while True:
            await self._clock.sleep(TURN_AWAY_REPORT_INTERVAL)
            counts = self._turned_away.take_report(self._clock.monotonic())
            if counts:
                self._log.write('clients_turned_away', counts=counts)

    def _limits(self) -> IntakeLimits:
        return DEFAULT_LIMITS if self._catalogue is None else self._catalogue.limits

    @contextlib.asynccontextmanager
    async def _open_store(self) -> AsyncIterator[HttpMetadataStore]:
        """Opens a client of the store for the running event loop."""
        store = HttpMetadataStore(self._settings.store, self._clock, _ignore_store_call)
        try:
            yield store
        finally:
            await store.close()

    async def _drain(self, leader_task: 'asyncio.Task[None]') -> None:
        self._log.write('process_stopping')
        await cancel_all([leader_task])
        await self._leader.resign()
        await self._clock.sleep(DRAIN_PERIOD)

    def _check_settings_file(self) -> None:
        """Logs whether the settings file is valid; its values are not applied."""
        try:
            read_boot_settings(self._path)
        except (OSError, KeyError, ValueError) as error:
            self._log.write('settings_rejected', reason=repr(error))
            return
        self._log.write('settings_reloaded')

    async def _handle_ready(self, _request: web.BaseRequest) -> web.Response:
        store_silence = self._clock.monotonic() - self._operator_entries.last_success_at
        ready = (
            self._catalogue is not None
            and store_silence < MAX_STORE_SILENCE
            # Clients of a zone without access to the store should use another zone.
            and self._store.available
            and not self._stopping.is_set()
        )
        return web.Response(status=200 if ready else 503)

    async def _handle_metrics(self, _request: web.BaseRequest) -> web.Response:
        return web.Response(body=self._metrics.render(), content_type='text/plain')

    def _observe_store(self, path: str, duration: timedelta, success: bool) -> None:
        self._metrics.record_store_call(path, duration, succeeded=success)

    def _in_use(self) -> dict[str, int]:
        if self._front is None:
            return {}
        guard = self._front.guard
        return {'connections': guard.connections, 'bytes': guard.held_bytes}

    def _queue_lengths(self) -> dict[str, int]:
        scheduler = self._leader.scheduler
        return {} if scheduler is None else scheduler.table.waiting()

    def _runs_of_ended_jobs(self) -> list[timedelta] | None:
        scheduler = self._leader.scheduler
        return None if scheduler is None else scheduler.fleet.runs_of_ended_jobs()

    def _account_claims(self) -> dict[AccountName, int]:
        scheduler = self._leader.scheduler
        return {} if scheduler is None else scheduler.ledger.claimed_millicores()

    def _account_waits(self) -> dict[AccountName, int]:
        scheduler = self._leader.scheduler
        return {} if scheduler is None else scheduler.table.waiting_by_account()

    def _on_operator_entry(self, name: str, entry: QueueCatalogue | str | None) -> None:
        if name != CONFIG_NAME:
            self._log.write('operator_request', name=name, present=entry is not None)
        elif isinstance(entry, QueueCatalogue):
            current_version = self._catalogue.version if self._catalogue else -1
            if entry.version >= current_version:
                self._apply_configuration(entry)
        if self._leader.scheduler is not None:
            self._leader.scheduler.wake()

    def _apply_configuration(self, catalogue: QueueCatalogue) -> None:
        self._catalogue = catalogue
        fields = {'version': catalogue.version}
        period = WATCH_WAIT
        if catalogue.accounts is not None:
            fields['accounts'] = len(catalogue.accounts)
            period = min(period, self._key_check.confirmation_period or period)
        self._operator_entries.wait = period
        self._log.write('configuration_applied', **fields)

    def _create_scheduler(self, term: Term) -> Scheduler:
        return Scheduler(
            term,
            self._clock,
            self._log,
            self._settings.bounds,
            HttpWorker,
            self._service_of,
            self._evacuated,
            self._advisor,
            self._accounts,
        )

    def _follow_workers(self) -> Replica[WorkerInfo]:
        return Replica(
            self._store,
            'servers/',
            decode_worker,
            self._clock,
            self._log,
            watch_pause=WORKERS_WATCH_PAUSE,
        )

    def _complete_since(self) -> timedelta:
        replicas = (self._operator_entries, self._election.leader)
        return min(replica.last_success_at for replica in replicas)

    def _refusal_reason(self, submission: Submission) -> str:
        service = submission.queue.service
        reason = self._capacity_check.refusal_reason(submission.spec, service)
        accounts = self._accounts()
        if reason or accounts is None:
            return reason
        return self._capacity_check.limit_refusal_reason(
            submission.spec, accounts.get(submission.account)
        )

    def _service_of(self, job: Job) -> str:
        policy = self._catalogue and self._catalogue.policy(job.queue.name)
        return policy.service if policy else job.queue.service

    def _accounts(self) -> AccountDirectory | None:
        """Returns the accounts in force; none are known before the configuration is."""
        return (
            AccountDirectory() if self._catalogue is None else self._catalogue.accounts
        )

    def _evacuated(self, zone: ZoneName) -> bool:
        return EVACUATION_PREFIX + zone in self._operator_entries.entries


def _ignore_store_call(_path: str, _duration: timedelta, _success: bool) -> None:
    """Observes calls of another thread, which the metrics do not count."""
