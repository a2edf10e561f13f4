"""Tasks that take a cancellation for something else."""

import asyncio

from chiveworks.base import cancel_all


async def test_a_task_that_swallows_a_cancellation_is_cancelled_again():
    """Guards against a wait without end for a task whose HTTP client took the
    cancellation for the timeout of its call."""
    swallowed = []

    async def stubborn():
        while True:
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                if swallowed:
                    raise
                swallowed.append(1)

    task = asyncio.create_task(stubborn())
    await asyncio.sleep(0)
    await asyncio.wait_for(cancel_all([task]), timeout=5)
    assert task.cancelled() and swallowed


async def test_errors_of_ending_tasks_are_dropped():
    """Guards against a clean-up that stops at the first failed task."""

    async def fail():
        raise ValueError('broken')

    tasks = [asyncio.create_task(fail()), asyncio.create_task(asyncio.sleep(60))]
    await cancel_all(tasks)
    assert all(task.done() for task in tasks)
