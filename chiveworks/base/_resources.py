"""Resource amounts of workers and tasks."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Resources:
    """CPU, memory and accelerators, as integers so that sums are exact.

    Attributes:
        cpu_millicores: CPU in thousandths of a core.
        memory_bytes: Memory in bytes.
        accelerators: Number of accelerators.
    """

    cpu_millicores: int = 0
    memory_bytes: int = 0
    accelerators: int = 0

    def __add__(self, other: 'Resources') -> 'Resources':
        """Returns the sum of both amounts."""
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_bytes + other.memory_bytes,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: 'Resources') -> 'Resources':
        """Returns the difference; fields may become negative."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_bytes - other.memory_bytes,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, free: 'Resources') -> bool:
        """Returns whether `free` has room for this amount."""
        return (
            self.cpu_millicores <= free.cpu_millicores
            and self.memory_bytes <= free.memory_bytes
            and self.accelerators <= free.accelerators
        )

    def maximum(self, other: 'Resources') -> 'Resources':
        """Returns the element-wise maximum of both amounts."""
        return Resources(
            max(self.cpu_millicores, other.cpu_millicores),
            max(self.memory_bytes, other.memory_bytes),
            max(self.accelerators, other.accelerators),
        )
