"""What a worker says of itself in the platform's list."""

from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import RackName, Resources, WorkerId, ZoneName


@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """Entry of a worker that is up.

    Attributes:
        worker_id: Id of the worker.
        service: Service that it runs tasks for.
        address: Host and port of its interface.
        zone: Availability zone.
        draining: Whether it is about to leave.
        capacity: What its tasks may take together.
        labels: Kind of the worker and its rack, among others.
        rack: Rack, empty when unknown.
        remaining: Least time until it leaves; None when it is not leaving.
        born_ms: Start of this incarnation; 0 when unknown.
    """

    worker_id: WorkerId
    service: str
    address: str
    zone: ZoneName
    draining: bool
    capacity: Resources
    labels: frozenset[str] = frozenset()
    rack: RackName = RackName('')
    remaining: timedelta | None = None
    born_ms: int = 0
