"""Counts decisions and measures their delays, by queue."""

from collections.abc import Callable
from datetime import timedelta
from typing import Final

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

# Orders take 1 ms and jobs seconds; a job's limit is three times its objective.
_BOUNDS_MS: Final = (
    *(1, 2, 4, 8, 15, 30, 60, 125, 250, 500),
    *(1000, 2000, 4000, 8000, 15_000, 30_000, 60_000),
)
_MILLISECOND: Final = timedelta(milliseconds=1)


class EventMeter:
    """Counters and histograms of one process in the Prometheus text format.

    Args:
        process: Name of the process.
        zone: Its availability zone.
        queue_lengths: Returns the number of tasks that wait, by queue.
    """

    def __init__(
        self,
        process: str,
        zone: str,
        queue_lengths: Callable[[], dict[str, int]],
    ) -> None:
        self._queue_lengths = queue_lengths
        self._registry = CollectorRegistry()
        self._provider = MeterProvider(
            [PrometheusMetricReader(scope_info_enabled=False, registry=self._registry)],
            Resource({'service.name': 'chiveworks', 'service.instance.id': process}),
            AlwaysOffExemplarFilter(),
            shutdown_on_exit=False,
        )
        meter = self._provider.get_meter('chiveworks')
        bounds = tuple(map(float, _BOUNDS_MS))
        self._zone = {'zone': zone}
        self._events = meter.create_counter(
            'chiveworks_events', description='Decisions by kind and outcome'
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

    def observe(self, event: str, fields: dict[str, object]) -> None:
        """Counts one event of the log and records the delays that it names."""
        outcome = fields.get('outcome') or fields.get('how') or ''
        self._events.add(1, {**self._zone, 'event': event, 'outcome': str(outcome)})
        queue = {**self._zone, 'queue': str(fields.get('queue', ''))}
        waited, took = fields.get('waited_ms'), fields.get('duration_ms')
        if isinstance(waited, int):
            self._waits.record(waited, queue)
        if isinstance(took, int):
            self._durations.record(took, {**queue, 'outcome': event})

    def record_store_call(
        self, kind: str, duration: timedelta, *, succeeded: bool
    ) -> None:
        """Records one call of the metadata store."""
        result = 'answered' if succeeded else 'failed'
        labels = {**self._zone, 'kind': kind, 'result': result}
        self._store_calls.record(duration / _MILLISECOND, labels)

    def render(self) -> bytes:
        """Returns all measurements as text."""
        return generate_latest(self._registry)

    def _observe_queues(self, _options: CallbackOptions) -> list[Observation]:
        return [
            Observation(length, {**self._zone, 'queue': queue})
            for queue, length in self._queue_lengths().items()
        ]
