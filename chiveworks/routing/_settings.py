"""Parameters of routing."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from chiveworks.base import ZoneName


@dataclass(frozen=True)
class RoutingSettings:
    """Parameters of endpoint selection, ejection, retries and connections.

    Attributes:
        policy: Name of the routing policy.
        zone_latencies: Round-trip time from this process to each zone; 1 s is assumed
            for a zone that is not listed.
        latency_half_life: Time in which a latency estimate without new measurements
            halves, so that a formerly slow endpoint is tried again.
        failures_to_eject: Consecutive failures after which an endpoint is ejected.
        ejection_base: Duration of the first ejection; it doubles with each one.
        ejection_limit: Maximum duration of an ejection.
        slow_start: Time in which a returned endpoint ramps up to its full capacity.
        refusal_pause: Time without new requests for an endpoint that refused one.
        retry_share: Retries allowed per request, on average.
        retry_reserve: Initial and maximum number of saved retries.
        attempt_limit: Maximum number of attempts per request; a hedge of the last
            attempt may exceed it by one.
        backoff_base: Mean wait before the first retry; it doubles each time.
        connect_timeout: Maximum wait for a new connection.
        idle_limit: Maximum idle time of a connection before it is closed.
        buffer_bytes: Maximum size of a response that is read completely before it is
            forwarded; larger ones are streamed.
        hedge_after: Wait before a second, concurrent attempt of an idempotent
            request; None disables hedging.
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
