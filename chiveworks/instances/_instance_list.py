"""Interface of the platform's instance list."""

from datetime import timedelta
from typing import Protocol

from result import Result

from chiveworks.base import Failure
from chiveworks.instances._instance import Instance
from chiveworks.instances._snapshot import InstanceSnapshot


class InstanceList(Protocol):
    """List of live and leaving instances."""

    async def poll(
        self, after_revision: int, wait: timedelta
    ) -> Result[InstanceSnapshot | None, Failure]:
        """Waits up to `wait` for a list newer than `after_revision`.

        Returns:
            The list, or None when it has not changed.
        """

    async def register(self, instance: Instance) -> Result[None, Failure]:
        """Adds or replaces an instance."""
