"""A step whose first allowed workers are full; see claim.txt."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lab-2'))

from lab import ADVISED, TROUBLE, CannotRunError, run_case  # noqa: E402

#: The size of lamphun-mesh as played. The policy allows the two workers that the lasting
#: tasks fill, and the two that have joined last.
WORKERS = 34
FILLED = 2
WORKER_CPU = 16000
ADVICE = {'decide_ms': 5, 'period_ms': 1, 'valid_ms': 60_000}
#: Tasks that last, eight of which fill two workers, as wide and large as those of stockrec.
BIG = {'count': 8, 'cpu': 4000, 'mem_mb': 6400, 'estimate_ms': 400, 'long_running': True}
BIG |= {'image': 'image-1', 'target_ms': 45}
SMALL = {'count': 2, 'cpu': 1000, 'mem_mb': 256, 'estimate_ms': 500}
JOBS = 5
BIG_JOB = '00000000000000ff'
FINISH_S = 14
IDLE_S = 3


async def play(lab):
    ids = [f'i-{number:010x}' for number in range(WORKERS)]
    lab.start_advice()
    await lab.start_processes(3)
    for number, worker_id in enumerate(ids):
        await lab.start_worker(f'w{number}', worker_id)
        if number in {FILLED - 1, WORKERS - 3}:
            # The list of workers is in the order in which they join.
            await asyncio.sleep(2.5)
    await asyncio.sleep(5)
    if TROUBLE:
        await lab.submit(BIG_JOB, [BIG], 0, lasts=True)
        await asyncio.sleep(1)
    filled = sorted({row['worker'] for row in lab.runs() if row['event'] == 'start'})
    if TROUBLE and filled != ids[:FILLED]:
        raise CannotRunError(f'the lasting tasks run on {filled}')
    lab.set_allowed([*ids[:FILLED], *ids[-2:]])
    accepted = []
    for number in range(JOBS):
        job = f'{number + 1:016x}'
        if await lab.submit(job, [SMALL], 500, prefix=ADVISED) == 200:
            accepted.append(job)
        await asyncio.sleep(0.3)
    lab.say('traffic ends')
    await asyncio.sleep(FINISH_S)
    asked_at = time.time()
    shown = {job: await lab.state(job) for job in accepted}
    return judge(lab, shown, asked_at)


def judge(lab, shown, asked_at):
    """Applies the rule LOST: asked for `finish_s` after the end of the traffic."""
    spans = lab.spans()
    big = sum(
        began < asked_at and ended > asked_at - IDLE_S
        for task, _, _, began, ended, _ in spans
        if task.startswith(BIG_JOB)
    )
    used, room = big * BIG['cpu'], WORKERS * WORKER_CPU
    lab.say('use of the last 3 s', cpu=used, of=room)
    broken = []
    for job, state in shown.items():
        lab.say('job asked for', job=job, state=state)
        working = any(
            task.startswith(job) and began < asked_at and ended > asked_at - IDLE_S
            for task, _, _, began, ended, _ in spans
        )
        if state in {'queued', 'running'} and not working and 2 * used < room:
            broken.append(
                f'LOST: {job}, shown as {state}, has had nothing running for {IDLE_S} s, '
                f'with {used} of {room} in use and two allowed workers empty'
            )
    return broken


#: Of lamphun-mesh: processor time of a machine (share, cores) and the bound of stops.
run_case(FOLDER, play, advice=ADVICE, limits=(0.537, 2), stop_ms=200)
