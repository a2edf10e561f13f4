"""Guards against tasks that survive their cancellation."""

import asyncio

from chiveworks.base import cancel_all


async def test_a_task_that_swallows_a_cancellation_is_cancelled_again():
    """Guards against waiting forever for a task whose HTTP client mistook the
    cancellation for the timeout of its call."""
    swallowed = []

    async def ignores_first_cancellation():
        while True:
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                if swallowed:
                    raise
                swallowed.append(1)

    task = asyncio.create_task(ignores_first_cancellation())
    await asyncio.sleep(0)
    await asyncio.wait_for(cancel_all([task]), timeout=5)
    assert task.cancelled() and swallowed


async def test_errors_of_ending_tasks_are_dropped():
    """Guards against a cleanup that stops at the first failed task."""

    async def fail():
        raise ValueError('broken')

    tasks = [asyncio.create_task(fail()), asyncio.create_task(asyncio.sleep(60))]
    await cancel_all(tasks)
    assert all(task.done() for task in tasks)


async def test_a_cancellation_that_raises_leaves_no_task_running():
    """Guards against tasks that go on since the cancellation of another one raised:
    uvloop does so if a transport uses the descriptor of a connection attempt."""

    class ConnectionAttempt(asyncio.Future):
        def cancel(self, msg=None):
            if not raised:
                raised.append(1)
                raise RuntimeError('File descriptor 241 is used by transport')
            return super().cancel(msg)

    async def connect():
        await ConnectionAttempt()

    raised = []
    tasks = [asyncio.create_task(connect()) for _ in range(3)]
    await asyncio.sleep(0)
    await asyncio.wait_for(cancel_all(tasks), timeout=5)
    assert raised and all(task.cancelled() for task in tasks)
