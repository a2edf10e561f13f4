"""Metrics derived from events and from calls to the metadata store."""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from functools import partial
from typing import Final

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from chiveworks.base import AccountName

# Bucket bounds. Commands to workers take 1 ms and jobs take seconds; a job earns no
# credit on the platform after three times its allowed duration.
_BOUNDS_MS: Final = (
    *(1, 2, 4, 8, 15, 30, 60, 125, 250, 500),
    *(1000, 2000, 4000, 8000, 15_000, 30_000, 60_000),
)
_MILLISECOND: Final = timedelta(milliseconds=1)


class EventMetrics:
    """Metrics of one process, exported in the Prometheus text format.

    Args:
        process: Name of the process.
        zone: Availability zone of the process.
        queue_lengths: Returns the number of waiting tasks, by queue.
        runs_of_ended_jobs: Returns for each run of an ended job the time since the
            job's end; None if this process is not the leader.
        account_claims: Returns the claimed processors in millicores, by account.
        account_waits: Returns the number of waiting tasks, by account.
    """

    def __init__(
        self,
        process: str,
        zone: str,
        queue_lengths: Callable[[], dict[str, int]],
        runs_of_ended_jobs: Callable[[], Sequence[timedelta] | None],
        account_claims: Callable[[], dict[AccountName, int]] = dict,
        account_waits: Callable[[], dict[AccountName, int]] = dict,
    ) -> None:
        self._queue_lengths = queue_lengths
        self._runs_of_ended_jobs = runs_of_ended_jobs
        self._registry = CollectorRegistry()
        self._provider = MeterProvider(
            [PrometheusMetricReader(scope_info_enabled=False, registry=self._registry)],
            Resource({'service.name': 'chiveworks', 'service.instance.id': process}),
            AlwaysOffExemplarFilter(),
            shutdown_on_exit=False,
        )
        meter = self._provider.get_meter('chiveworks')
        self._meter = meter
        bounds = tuple(map(float, _BOUNDS_MS))
        self._zone = {'zone': zone}
        # An instrument call for each event would be a notable share of the leader's work.
        self._event_counts: Counter[tuple[str, str]] = Counter()
        meter.create_observable_counter(
            'chiveworks_events',
            [self._observe_events],
            description='Decisions by kind and outcome',
        )
        self._waits = meter.create_histogram(
            'chiveworks_task_wait',
            'ms',
            'Time from the acceptance of a job to the claim of a task',
            explicit_bucket_boundaries_advisory=bounds,
        )
        self._durations = meter.create_histogram(
            'chiveworks_job_duration',
            'ms',
            'Time from the acceptance of a job to its end',
            explicit_bucket_boundaries_advisory=bounds,
        )
        self._store_calls = meter.create_histogram(
            'chiveworks_store_call',
            'ms',
            'Duration of calls of the metadata store by kind and result',
            explicit_bucket_boundaries_advisory=bounds,
        )
        meter.create_observable_gauge(
            'chiveworks_tasks_waiting',
            [self._observe_queues],
            description='Tasks that wait for a worker, by queue',
        )
        meter.create_observable_gauge(
            'chiveworks_account_claimed_cpu',
            [partial(self._observe_accounts, account_claims)],
            'mcore',
            'Processors that the running tasks of an account claim',
        )
        meter.create_observable_gauge(
            'chiveworks_account_tasks_waiting',
            [partial(self._observe_accounts, account_waits)],
            description='Tasks that wait for a worker, by account',
        )
        meter.create_observable_gauge(
            'chiveworks_runs_of_ended_jobs',
            [self._observe_runs_of_ended_jobs],
            description='Runs that occupy a worker although their job has ended',
        )
        meter.create_observable_gauge(
            'chiveworks_oldest_unfinished_job_end',
            [self._observe_oldest_job_end],
            'ms',
            'Time since the oldest job end after which a run still occupies a worker',
        )

    def export_clients(
        self,
        turned_away: Callable[[], Mapping[str, int]],
        in_use: Callable[[], Mapping[str, int]],
    ) -> None:
        """Exports how many clients were turned away and what the others use.

        Args:
            turned_away: Returns the number of clients that were turned away, by reason.
            in_use: Returns how much of each budget is in use, by budget.
        """
        self._meter.create_observable_counter(
            'chiveworks_clients_turned_away',
            [partial(self._observe_by_label, 'reason', turned_away)],
            description='Clients that were refused or disconnected, by reason',
        )
        self._meter.create_observable_gauge(
            'chiveworks_clients_in_use',
            [partial(self._observe_by_label, 'budget', in_use)],
            description='Connections and bytes that clients use',
        )

    def observe(self, event: str, fields: dict[str, object]) -> None:
        """Counts a logged event and records the durations in its fields."""
        outcome = fields.get('outcome') or fields.get('how') or ''
        self._event_counts[event, str(outcome)] += 1
        waited_ms, duration_ms = fields.get('waited_ms'), fields.get('duration_ms')
        # Other events that have `waited_ms` are not claims.
        if event == 'task_claimed' and isinstance(waited_ms, int):
            self._waits.record(waited_ms, self._queue_labels(fields))
        if isinstance(duration_ms, int):
            labels = {**self._queue_labels(fields), 'outcome': event}
            self._durations.record(duration_ms, labels)

    def record_store_call(
        self, kind: str, duration: timedelta, *, succeeded: bool
    ) -> None:
        """Records the duration and result of a metadata store call."""
        result = 'answered' if succeeded else 'failed'
        labels = {**self._zone, 'kind': kind, 'result': result}
        self._store_calls.record(duration / _MILLISECOND, labels)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _queue_labels(self, fields: dict[str, object]) -> dict[str, str]:
        return {**self._zone, 'queue': str(fields.get('queue', ''))}

    def _observe_by_label(
        self,
        label: str,
        counts: Callable[[], Mapping[str, int]],
        _options: CallbackOptions,
    ) -> list[Observation]:
        return [
            Observation(count, {**self._zone, label: name})
            for name, count in counts().items()
        ]

    def _observe_events(self, _options: CallbackOptions) -> list[Observation]:
        return [
            Observation(count, {**self._zone, 'event': event, 'outcome': outcome})
            for (event, outcome), count in self._event_counts.items()
        ]

    def _observe_queues(self, _options: CallbackOptions) -> list[Observation]:
        return [
            Observation(length, {**self._zone, 'queue': queue})
            for queue, length in self._queue_lengths().items()
        ]

    def _observe_accounts(
        self,
        amounts: Callable[[], dict[AccountName, int]],
        _options: CallbackOptions,
    ) -> list[Observation]:
        return [
            Observation(amount, {**self._zone, 'account': account})
            for account, amount in amounts().items()
        ]

    def _observe_runs_of_ended_jobs(
        self, _options: CallbackOptions
    ) -> list[Observation]:
        ages = self._runs_of_ended_jobs()
        return [] if ages is None else [Observation(len(ages), self._zone)]

    def _observe_oldest_job_end(self, _options: CallbackOptions) -> list[Observation]:
        ages = self._runs_of_ended_jobs()
        if ages is None:
            return []
        oldest = max(ages, default=timedelta())
        return [Observation(oldest // _MILLISECOND, self._zone)]
