"""Background asyncio tasks that end with the tenure that started them."""

import asyncio
from collections.abc import Coroutine

from chiveworks.base import cancel_all


class BackgroundTasks:
    """Starts asyncio tasks in the tenure's task group.

    An exception in one task cancels the whole group.
    """

    def __init__(self, group: asyncio.TaskGroup) -> None:
        self._group = group
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, coroutine: Coroutine[object, object, None]) -> asyncio.Task[None]:
        """Starts a task; it is cancelled when the tenure ends."""
        task = self._group.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def stop(self) -> None:
        """Cancels all tasks started by this object and waits until they have ended."""
        await cancel_all(tuple(self._tasks))
