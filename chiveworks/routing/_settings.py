"""Parameters of routing."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from chiveworks.base import ZoneName


@dataclass(frozen=True)
class RoutingSettings:
    """Parameters of endpoint choice, ejection, retries and connections.

    Attributes:
        policy: Name of the routing policy.
        zone_latencies: Round trip from this process to each zone; a zone that
            is not listed counts as the farthest.
        latency_half_life: Time after which an unused latency estimate halves, so
            that an endpoint that was slow is tried again.
        failures_to_eject: Consecutive failures after which an endpoint is ejected.
        ejection_base: Length of the first ejection; it doubles with each one.
        ejection_limit: Longest ejection.
        slow_start: Time over which a returned endpoint gets its full share.
        refusal_pause: Time without new work for an endpoint that refused one.
        retry_share: Retries allowed per request, on average.
        retry_reserve: Retries allowed at the start and kept at most.
        attempt_limit: Attempts per request.
        backoff_base: Mean wait before the first retry; it doubles each time.
        connect_timeout: Longest wait for a new connection.
        idle_limit: Longest idle time of a connection that is used again.
        buffer_bytes: Largest answer that is read completely before it is passed on.
        hedge_after: Wait before a second attempt of an idempotent request is
            started beside the first; None turns hedging off.
    """

    policy: str = 'two_choices'
    zone_latencies: Mapping[ZoneName, timedelta] = field(default_factory=dict)
    latency_half_life: timedelta = timedelta(seconds=10)
    failures_to_eject: int = 3
    ejection_base: timedelta = timedelta(seconds=5)
    ejection_limit: timedelta = timedelta(minutes=5)
    slow_start: timedelta = timedelta(seconds=10)
    refusal_pause: timedelta = timedelta(milliseconds=20)
    retry_share: float = 0.1
    retry_reserve: float = 10
    attempt_limit: int = 4
    backoff_base: timedelta = timedelta(milliseconds=5)
    connect_timeout: timedelta = timedelta(seconds=1)
    idle_limit: timedelta = timedelta(seconds=10)
    buffer_bytes: int = 256 * 1024
    hedge_after: timedelta | None = None
