"""State of one endpoint as this process sees it."""

from dataclasses import dataclass, field
from datetime import timedelta

from chiveworks.instances import Instance, InstanceState
from chiveworks.routing._latency_estimate import LatencyEstimate
from chiveworks.routing._settings import RoutingSettings

_NEVER = timedelta(days=-1)
#: Keeps load decisive between endpoints without a latency measurement.
_LATENCY_FLOOR_MS = 0.1
#: Share of its capacity that an endpoint gets at once on its return.
_LEAST_WARMTH = 0.1
#: Timeouts in a row after which pooled connections are taken for silent.
TIMEOUTS_TO_PROBE = 2


@dataclass(eq=False, slots=True)
class Endpoint:
    """Load, latency and health of one worker's endpoint.

    Attributes:
        instance: The worker as listed.
        settings: Parameters of ejection and slow start.
        in_flight: Requests of this process that the endpoint is working on.
        capacity: Requests that the endpoint takes at once.
        leaving: The endpoint announced that it leaves, or is listed so.
        probing: Its connections were dropped and no probe has been answered yet.
        failures: Consecutive failures.
        timeouts: Consecutive timeouts.
        ejections: Ejections since the last long stretch without one.
        ejected_until: End of the last ejection.
        returned_at: When it last returned, the start of its slow start.
        paused_until: End of the pause after a refusal.
        latency: Smoothed latency of its answers.
    """

    instance: Instance
    settings: RoutingSettings
    in_flight: int = 0
    capacity: int = field(init=False)
    leaving: bool = False
    probing: bool = False
    failures: int = 0
    timeouts: int = 0
    ejections: int = 0
    ejected_until: timedelta = _NEVER
    returned_at: timedelta = _NEVER
    paused_until: timedelta = _NEVER
    latency: LatencyEstimate = field(default_factory=LatencyEstimate)

    def __post_init__(self) -> None:
        self.relist(self.instance)

    def relist(self, instance: Instance) -> None:
        """Takes over a changed entry of the instance list."""
        self.instance = instance
        self.capacity = min(instance.slots, instance.connections)

    def is_ejected(self, now: timedelta) -> bool:
        """Tells whether an ejection is in force or a probe is unanswered."""
        return self.probing or now < self.ejected_until

    def takes_work(self, now: timedelta) -> bool:
        """Tells whether the endpoint serves and has room."""
        return not self.leaving and self.is_serving() and self.has_room(now)

    def is_serving(self) -> bool:
        """Tells whether the endpoint may get new work at all."""
        listed = self.instance.state is InstanceState.LIVE
        return listed and not self.leaving

    def has_room(self, now: timedelta) -> bool:
        """Tells whether a slot and a connection are free, slow start considered."""
        if now < self.paused_until:
            return False
        warmth = self.warmth(now)
        if warmth == 1:
            return self.in_flight < self.capacity
        return self.in_flight < max(1, int(self.capacity * warmth))

    def warmth(self, now: timedelta) -> float:
        """Returns the share of its capacity that slow start allows, up to 1."""
        age = now - self.returned_at
        # A negative age: ejected, and chosen only to keep half of the endpoints.
        if age >= self.settings.slow_start or age < timedelta():
            return 1
        return max(_LEAST_WARMTH, age / self.settings.slow_start)

    def predict_latency_ms(self, now: timedelta) -> float:
        """Returns the smoothed latency in ms, decayed by its age."""
        return self.latency.predict(now, self.settings.latency_half_life)

    def cost(self, now: timedelta) -> float:
        """Returns the expected latency in ms of one more request."""
        load = (self.in_flight + 1) / max(self.capacity, 1)
        return (
            (self.predict_latency_ms(now) + _LATENCY_FLOOR_MS)
            * (1 + load)
            / self.warmth(now)
        )

    def record_answer(self, now: timedelta, latency: timedelta) -> None:
        """Notes an answer; it ends a row of failures."""
        self.failures = 0
        self.timeouts = 0
        self.latency.partial_fit(now, latency, self.settings.latency_half_life)

    def record_refusal(self, now: timedelta) -> None:
        """Notes a refusal: the endpoint is alive but has no free slot."""
        self.timeouts = 0
        self.paused_until = now + self.settings.refusal_pause

    def record_failure(self, now: timedelta, latency: timedelta, timeout: bool) -> bool:
        """Notes a failure.

        Returns:
            Whether the endpoint should be ejected.
        """
        self.failures += 1
        self.timeouts = self.timeouts + 1 if timeout else 0
        if timeout:
            self.latency.partial_fit(now, latency, self.settings.latency_half_life)
        return self.failures >= self.settings.failures_to_eject

    def end_probe(self) -> None:
        """Notes an answered probe.

        There is no slow start: the connections were at fault, not the endpoint, and
        under overload a tenth of the capacity would make matters worse.
        """
        self.probing = False
        self.timeouts = 0

    def eject(self, now: timedelta) -> None:
        """Ejects the endpoint, each time for twice as long up to a limit."""
        settings = self.settings
        if now - self.ejected_until > settings.ejection_limit:
            self.ejections = 0
        length = settings.ejection_base * 2 ** min(self.ejections, 20)
        self.ejections += 1
        self.ejected_until = now + min(length, settings.ejection_limit)
        self.returned_at = self.ejected_until
        self.failures = 0
