"""State of the instance list at one revision."""

from dataclasses import dataclass

from chiveworks.instances._instance import Instance


@dataclass(frozen=True, slots=True)
class InstanceSnapshot:
    """All listed instances and the revision of the list."""

    revision: int
    instances: tuple[Instance, ...]
