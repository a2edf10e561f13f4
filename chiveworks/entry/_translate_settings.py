"""Converts the settings of the process to those of its components."""

from datetime import timedelta

from chiveworks.admission import AdmissionSettings
from chiveworks.entry._service_settings import ServiceSettings
from chiveworks.placement import PlacementWeights
from chiveworks.routing import RoutingSettings
from chiveworks.scheduler import SchedulerTimings
from chiveworks.settings import Settings


def to_timings(settings: Settings) -> SchedulerTimings:
    """Returns the intervals and timeouts of the shard scheduler."""
    return SchedulerTimings(
        worker_lease=_ms(settings.worker_lease_ms),
        worker_renew=_ms(settings.worker_renew_ms),
        idle_worker_renew=_ms(settings.idle_worker_renew_ms),
        shard_lease=_ms(settings.shard_lease_ms),
        shard_renew=_ms(settings.shard_renew_ms),
        commit_tick=_ms(settings.commit_tick_ms),
        ticket_max_age=_ms(settings.ticket_max_age_ms),
        store_outage_tolerance=_ms(settings.store_outage_tolerance_ms),
    )


def to_routing(settings: Settings) -> RoutingSettings:
    """Returns the settings of the router."""
    return RoutingSettings(
        policy=settings.routing.policy,
        zone_latencies={
            zone: _ms(latency_ms)
            for zone, latency_ms in settings.zone_latencies_ms.items()
        },
        retry_share=settings.retry.budget_share,
        attempt_limit=settings.retry.attempts,
    )


def to_admission(settings: Settings) -> AdmissionSettings:
    """Returns the settings of admission control."""
    return AdmissionSettings(
        limiter=settings.limits.limiter, limit=settings.limits.concurrency
    )


def to_service(settings: Settings) -> ServiceSettings:
    """Returns the settings of the service route."""
    return ServiceSettings(
        body_bytes=settings.limits.body_bytes,
        longest_deadline=_ms(settings.limits.default_deadline_ms),
        read_timeout=_ms(settings.limits.read_timeout_ms),
        rate_per_s=settings.limits.rate_per_s,
    )


def to_weights(settings: Settings) -> PlacementWeights:
    """Returns the weights of the placement objectives."""
    weights = settings.placement.weights
    return PlacementWeights(
        weights.tail_latency, weights.batch_throughput, weights.zone_work
    )


def to_grace(settings: Settings) -> timedelta:
    """Returns how long requests are still accepted after SIGTERM."""
    return _ms(settings.drain_grace_ms)


def _ms(milliseconds: float) -> timedelta:
    return timedelta(milliseconds=milliseconds)
