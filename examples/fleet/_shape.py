"""Size and layout of a fleet, and those of the reference fleets."""

from dataclasses import dataclass


@dataclass(frozen=True)
class FleetShape:
    """Number of zones, workers and entry processes of a fleet.

    Attributes:
        zones: Names of the availability zones.
        workers_per_zone: Number of workers in each zone, in the order of `zones`.
        entries_per_zone: Number of entry processes in each zone.
        service: Service whose endpoints run on all workers.
        zone_latency_ms: Round-trip time between two zones.
    """

    zones: tuple[str, ...]
    workers_per_zone: tuple[int, ...]
    entries_per_zone: int
    service: str
    zone_latency_ms: float


QUIMPERLE = FleetShape(
    ('laita', 'kerbertrand', 'isole'), (8, 8, 8), 2, 'compteurs', 0.5
)
LAMPHUN = FleetShape(
    ('th-north-a', 'th-north-b', 'th-north-c', 'th-north-d'),
    (9, 9, 8, 8),
    2,
    'orderdesk',
    1.5,
)
