"""State of one endpoint, as seen by this process."""

from dataclasses import dataclass, field
from datetime import timedelta

from chiveworks.instances import Instance, InstanceState
from chiveworks.routing._latency_estimate import LatencyEstimate
from chiveworks.routing._settings import RoutingSettings

_NEVER = timedelta(days=-1)
#: Added to latency estimates, so that endpoints without a measurement are compared
#: by load.
_LATENCY_OFFSET_MS = 0.1
#: Share of its capacity that a returned endpoint gets immediately.
_MIN_SLOW_START_SHARE = 0.1
#: Consecutive timeouts after which pooled connections are assumed to be dead.
TIMEOUTS_TO_PROBE = 2


@dataclass(eq=False, slots=True)
class Endpoint:
    """Load, latency and health of one worker's endpoint.

    Attributes:
        instance: The worker's entry in the instance list.
        settings: Parameters of ejection and slow start.
        in_flight: Number of this process's requests in progress at the endpoint.
        capacity: Maximum number of concurrent requests.
        leaving: Whether it announced that it is leaving or is no longer listed.
        probing: Whether its connections were dropped and no probe has succeeded yet.
        failures: Consecutive failures.
        timeouts: Consecutive timeouts.
        ejections: Number of ejections; it restarts if the last one ended more than
            `ejection_limit` ago.
        ejected_until: End of the last ejection.
        returned_at: Time of its last or next return, when its slow start begins.
        paused_until: End of the pause after a refusal.
        latency: Smoothed latency of its responses.
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
        self.update_instance(self.instance)

    def update_instance(self, instance: Instance) -> None:
        """Updates the endpoint from its entry in the instance list."""
        self.instance = instance
        self.capacity = min(instance.slots, instance.connections)

    def is_ejected(self, now: timedelta) -> bool:
        """Tells whether the endpoint is ejected or being probed."""
        return self.probing or now < self.ejected_until

    def accepts_requests(self, now: timedelta) -> bool:
        """Tells whether it is live and has free capacity; ignores an ejection."""
        return not self.leaving and self.is_serving() and self.has_free_capacity(now)

    def is_serving(self) -> bool:
        """Tells whether the endpoint is listed as live and is not leaving."""
        listed = self.instance.state is InstanceState.LIVE
        return listed and not self.leaving

    def has_free_capacity(self, now: timedelta) -> bool:
        """Tells whether it is not paused and has capacity within the slow start limit."""
        if now < self.paused_until:
            return False
        slow_start_share = self.slow_start_share(now)
        if slow_start_share == 1:
            return self.in_flight < self.capacity
        return self.in_flight < max(1, int(self.capacity * slow_start_share))

    def slow_start_share(self, now: timedelta) -> float:
        """Returns the share of its capacity that slow start allows, up to 1."""
        age = now - self.returned_at
        # The age is negative while ejected; such an endpoint is used only to keep
        # half of the endpoints in use.
        if age >= self.settings.slow_start or age < timedelta():
            return 1
        return max(_MIN_SLOW_START_SHARE, age / self.settings.slow_start)

    def predict_latency_ms(self, now: timedelta) -> float:
        """Returns the smoothed latency in ms, decayed by its age."""
        return self.latency.predict(now, self.settings.latency_half_life)

    def cost(self, now: timedelta) -> float:
        """Returns the cost of an additional request.

        It is the predicted latency in ms, increased by the load and during slow start.
        """
        load = (self.in_flight + 1) / max(self.capacity, 1)
        return (
            (self.predict_latency_ms(now) + _LATENCY_OFFSET_MS)
            * (1 + load)
            / self.slow_start_share(now)
        )

    def record_success(self, now: timedelta, latency: timedelta) -> None:
        """Records a successful response, which resets the consecutive failures."""
        self.failures = 0
        self.timeouts = 0
        self.latency.partial_fit(now, latency, self.settings.latency_half_life)

    def record_refusal(self, now: timedelta) -> None:
        """Records a refusal: the endpoint is alive but has no free slot."""
        self.timeouts = 0
        self.paused_until = now + self.settings.refusal_pause

    def record_failure(self, now: timedelta, latency: timedelta, timeout: bool) -> bool:
        """Records a failure; the time until a timeout counts as latency.

        Returns:
            Whether the endpoint should be ejected.
        """
        self.failures += 1
        self.timeouts = self.timeouts + 1 if timeout else 0
        if timeout:
            self.latency.partial_fit(now, latency, self.settings.latency_half_life)
        return self.failures >= self.settings.failures_to_eject

    def end_probe(self) -> None:
        """Records a successful probe.

        There is no slow start: the connections were at fault, not the endpoint, and
        reducing it to a tenth of its capacity would worsen an overload.
        """
        self.probing = False
        self.timeouts = 0

    def eject(self, now: timedelta) -> None:
        """Ejects the endpoint; the duration doubles each time, up to a limit."""
        settings = self.settings
        if now - self.ejected_until > settings.ejection_limit:
            self.ejections = 0
        length = settings.ejection_base * 2 ** min(self.ejections, 20)
        self.ejections += 1
        self.ejected_until = now + min(length, settings.ejection_limit)
        self.returned_at = self.ejected_until
        self.failures = 0
