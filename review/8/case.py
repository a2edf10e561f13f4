"""Workers that are cut off for half a second and restart behind the cut; see claim.txt."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lab-2'))

from lab import TROUBLE, run_case  # noqa: E402

WORKERS = 6
MAX_ATTEMPTS = 3
#: Traffic: jobs of one step, handed in at an even pace.
JOBS_PER_S = 6
WIDTH = 14
WORK_MS = 1000
CPU = 1000
WORKER_CPU = 16000
TRAFFIC_S = 60
#: Length of each cut, the crash and the next life within it, and the time between cuts.
CUT_S = 0.5
CRASH_AFTER_S = 0.25
EVERY_S = 6.0
FINISH_S = 14
#: Time without a run from which the rule counts a job as lost.
IDLE_S = 3
#: Of lamphun-mesh: processor time of a machine (share, cores) and the bound of stops.
LIMITS = {'limits': (0.537, 2), 'stop_ms': 200}
WAITING = ('queued', 'running')


async def play(lab):
    await lab.start_processes(3)
    for number in range(WORKERS):
        await lab.start_worker(f'w{number}', f'i-{number:010x}', link=True)
    await asyncio.sleep(3)
    trouble = asyncio.create_task(disturb(lab)) if TROUBLE else None
    accepted = await traffic(lab)
    if trouble is not None:
        await trouble
    lab.say('traffic ends')
    await asyncio.sleep(FINISH_S)
    asked_at = time.time()
    shown = {job: await lab.state(job) for job in accepted}
    return judge(lab, shown, asked_at)


def judge(lab, shown, asked_at):
    """Applies the rule LOST: asked for `finish_s` after the end of the traffic."""
    spans = lab.spans()
    window = (asked_at - IDLE_S, asked_at)
    used = max(
        sum(CPU for *_, began, ended, _ in spans if began <= at < ended)
        for at in [window[0] + IDLE_S * part / 300 for part in range(301)]
    )
    room = WORKERS * WORKER_CPU
    lab.say('use of the last 3 s', cpu=used, of=room)
    broken = []
    for job, state in shown.items():
        if state == 'completed':
            continue
        runs = [each for each in spans if each[0].startswith(job)]
        failures = Counter(each[0] for each in runs if each[5] == 'failed')
        lab.say('job asked for', job=job, state=state, runs=len(runs))
        if state == 'failed' and max(failures.values(), default=0) < MAX_ATTEMPTS:
            broken.append(f'LOST: {job} is shown as failed, no task has failed so often')
        working = any(
            began < window[1] and ended > window[0] for *_, began, ended, _ in runs
        )
        done = len({each[0] for each in runs if each[5] == 'done'})
        twice_over = room - used >= 2 * (WIDTH - done) * CPU
        if state in WAITING and not working and 2 * used < room and twice_over:
            broken.append(
                f'LOST: {job} has had nothing running for {IDLE_S} s, with at most '
                f'{used} of {room} in use; {done} of its {WIDTH} tasks are done'
            )
    return broken


async def traffic(lab):
    accepted, under_way = [], []
    step = {'count': WIDTH, 'cpu': CPU, 'mem_mb': 500, 'estimate_ms': WORK_MS}

    async def hand_in(job, front):
        if await lab.submit(job, [step], WORK_MS, front) == 200:
            accepted.append(job)

    for number in range(int(TRAFFIC_S * JOBS_PER_S)):
        front = lab.fronts[number % len(lab.fronts)]
        under_way.append(asyncio.create_task(hand_in(f'{number + 1:016x}', front)))
        await asyncio.sleep(1 / JOBS_PER_S)
    await asyncio.gather(*under_way)
    return accepted


async def disturb(lab):
    lives = WORKERS
    for number in range(int((TRAFFIC_S - 6) / EVERY_S)):
        await asyncio.sleep(EVERY_S)
        place = f'w{number % WORKERS}'
        link = lab.links[place]
        link.cut()
        lab.say('link cut', place=place)
        await asyncio.sleep(CRASH_AFTER_S)
        lab.kill(place)
        await lab.start_worker(place, f'i-{lives:010x}', reuse=True)
        lives += 1
        await asyncio.sleep(CUT_S - CRASH_AFTER_S)
        link.heal()
        lab.say('link heals', place=place)


run_case(FOLDER, play, attempts=MAX_ATTEMPTS, **LIMITS)
