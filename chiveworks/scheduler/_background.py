"""Tasks that belong to one tenure and end with it."""

import asyncio
from collections.abc import Coroutine


class Background:
    """Starts tasks in the tenure's task group; a failure in one ends them all."""

    def __init__(self, group: asyncio.TaskGroup) -> None:
        self._group = group

    def start(self, coroutine: Coroutine[object, object, None]) -> asyncio.Task[None]:
        """Starts a task; it is cancelled when the tenure ends."""
        return self._group.create_task(coroutine)
