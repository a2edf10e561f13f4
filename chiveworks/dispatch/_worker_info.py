"""Entry of a worker in the platform's list."""

from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import RackName, Resources, WorkerId, ZoneName


@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """Description of a running worker.

    Attributes:
        worker_id: Id of the worker.
        service: Service whose tasks the worker runs; empty when unknown.
        address: Host and port of the worker's interface.
        zone: Availability zone.
        draining: Whether the worker is about to leave.
        capacity: Resources available to all tasks together.
        labels: Labels such as the kind of the worker and its rack.
        rack: Rack; empty when unknown.
        remaining: Minimum time until the worker leaves, when the entry was written; None
            if it is not leaving or does not say.
        written_at: Reading of the worker's monotonic clock when the entry was written;
            None when unknown.
        born_ms: Start time of this incarnation; 0 when unknown.
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
    written_at: timedelta | None = None
    born_ms: int = 0

    @classmethod
    def unlisted(cls, worker_id: WorkerId, address: str) -> 'WorkerInfo':
        """Returns what is known of a worker that is only named by its runs."""
        return cls(
            worker_id,
            service='',
            address=address,
            zone=ZoneName(''),
            draining=False,
            capacity=Resources(0, 0),
        )
