"""An instance in the platform's list."""

from dataclasses import dataclass

from chiveworks.base import EntryName, RackName, Resources, ZoneName
from chiveworks.instances._role import InstanceRole
from chiveworks.instances._state import InstanceState


@dataclass(frozen=True, slots=True)
class Instance:
    """A worker or an entry instance.

    Attributes:
        instance_id: Name, unique on the platform.
        role: What it runs.
        zone: Its availability zone.
        rack: Its rack; empty for entry instances.
        state: Whether it is live or leaving.
        control_url: Base URL of a worker's control interface.
        serve_url: Base URL at which a worker serves requests.
        peer_address: `ip:port` of an entry process's gRPC server.
        services: Services whose endpoints run on this worker.
        capacity: Total resources of the worker.
        slots: Number of requests that the endpoint runs concurrently.
        connections: Number of connections that the endpoint accepts.
    """

    instance_id: str
    role: InstanceRole
    zone: ZoneName
    rack: RackName
    state: InstanceState
    control_url: str = ''
    serve_url: str = ''
    peer_address: str = ''
    services: tuple[EntryName, ...] = ()
    capacity: Resources = Resources()
    slots: int = 0
    connections: int = 0
