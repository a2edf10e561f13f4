"""Prometheus metrics of a process."""

from datetime import timedelta
from typing import Final

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from chiveworks.base import (
    Clock,
    EntryId,
    ServiceClass,
    TenantName,
    Verdict,
    ZoneName,
)
from chiveworks.telemetry._control_cpu_share import ControlCpuShare

#: Value of the header `Content-Type` for `Metrics.render`.
METRICS_CONTENT_TYPE: Final = CONTENT_TYPE_LATEST

# The latency between zones is 0.5 to 1.5 ms, so low buckets are narrow.
_BUCKET_BOUNDS_MS = (
    *(0.5, 1, 1.5, 2, 3, 4, 5, 7.5, 10, 15, 20, 30, 50, 75),
    *(100, 150, 200, 300, 500, 750, 1000, 2000, 5000, 10_000, 30_000),
)
_MILLISECOND = timedelta(milliseconds=1)


class Metrics:
    """Metrics of a process; `render` returns the body for `GET /metrics`.

    Each object has its own registry, so that a process can have several. The
    library aggregates the series of an instrument beyond the first 2,000.
    """

    def __init__(self, clock: Clock, zone: ZoneName, entry_id: EntryId) -> None:
        self._control_share = ControlCpuShare(clock)
        self._registry = CollectorRegistry()
        self._provider = MeterProvider(
            [PrometheusMetricReader(scope_info_enabled=False, registry=self._registry)],
            Resource(
                {
                    'service.name': 'chiveworks',
                    'service.instance.id': entry_id,
                    'zone': zone,
                }
            ),
            AlwaysOffExemplarFilter(),
            shutdown_on_exit=False,
        )
        meter = self._provider.get_meter('chiveworks')
        self._latency = meter.create_histogram(
            'chiveworks_request_duration',
            'ms',
            'Time from the arrival of a request to the end of its answer',
            explicit_bucket_boundaries_advisory=tuple(map(float, _BUCKET_BOUNDS_MS)),
        )
        self._queue_length = meter.create_gauge(
            'chiveworks_queue_length', description='Tasks or requests that wait'
        )
        self._evictions = meter.create_counter(
            'chiveworks_evictions', description='Tasks stopped to free a worker'
        )
        self._retries = meter.create_counter(
            'chiveworks_retries', description='Repeated attempts by verdict'
        )
        self._store_calls = meter.create_counter(
            'chiveworks_store_calls', description='Calls to the store by kind'
        )
        meter.create_observable_gauge(
            'chiveworks_control_core_share',
            [self._observe_control_share],
            description='Share of a core used for control',
        )

    def record_latency(
        self, tenant: TenantName, service_class: ServiceClass, latency: timedelta
    ) -> None:
        """Records the duration of a request."""
        labels = {'tenant': tenant, 'service_class': service_class.value}
        self._latency.record(latency / _MILLISECOND, labels)

    def record_queue_length(self, queue: str, length: int) -> None:
        """Records the current length of a queue."""
        self._queue_length.set(length, {'queue': queue})

    def count_eviction(self, tenant: TenantName, cause: str) -> None:
        """Counts an evicted task."""
        self._evictions.add(1, {'tenant': tenant, 'cause': cause})

    def count_retry(self, verdict: Verdict) -> None:
        """Counts a retry by the verdict on the previous attempt."""
        self._retries.add(1, {'verdict': verdict.value})

    def count_store_call(self, kind: str) -> None:
        """Counts a call to the store, such as `get` or `watch`."""
        self._store_calls.add(1, {'kind': kind})

    def add_control_cpu_time(self, cpu_time: timedelta) -> None:
        """Adds CPU time used by the control plane."""
        self._control_share.add(cpu_time)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shuts down the meter provider."""
        self._provider.shutdown()

    def _observe_control_share(self, _options: CallbackOptions) -> list[Observation]:
        return [Observation(self._control_share.share())]
