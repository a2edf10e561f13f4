"""A trial, no case: a job whose stored progress grows beyond `value_bytes`.

It is far wider than the jobs of the small sites (36 tasks), so it is outside the doses of the
pages. Writes record.txt into the temporary folder; exits as the scripts of the cases do.
"""

import asyncio
import tempfile
import time

from lab import TROUBLE, run_case

WORKERS = 8
WORKER_CPU = 16000
#: The large job: three steps of 10,000 tasks that need a thousandth of a core each.
STEPS = 3
WIDTH = 10_000
LARGE = {'count': WIDTH, 'cpu': 1, 'mem_mb': 1, 'estimate_ms': 20_000}
#: The traffic beside it: small jobs, handed in at an even pace.
SMALL = {'count': 4, 'cpu': 1000, 'mem_mb': 256, 'estimate_ms': 500}
SMALL_JOBS = 10
FINISH_S = 14
IDLE_S = 3


async def play(lab):
    await lab.start_processes(3)
    for number in range(WORKERS):
        await lab.start_worker(f'w{number}', f'i-{number:010x}')
    await asyncio.sleep(3)
    if TROUBLE:
        await lab.submit('00000000000000ff', [LARGE] * STEPS, 20_000)
        await asyncio.sleep(5)
    accepted = []
    for number in range(SMALL_JOBS):
        job = f'{number + 1:016x}'
        if await lab.submit(job, [SMALL], 500, lab.fronts[number % 3]) == 200:
            accepted.append(job)
        await asyncio.sleep(0.5)
    lab.say('traffic ends')
    await asyncio.sleep(FINISH_S)
    asked_at = time.time()
    shown = {job: await lab.state(job) for job in accepted}
    return judge(lab, shown, asked_at)


def judge(lab, shown, asked_at):
    """Applies the rule LOST: asked for `finish_s` after the end of the traffic."""
    spans = lab.spans()
    cpu = {'00000000000000ff': LARGE['cpu']}
    used = max(
        sum(
            cpu.get(task.partition('.')[0], SMALL['cpu'])
            for task, _, _, began, ended, _ in spans
            if began <= at < ended
        )
        for at in [asked_at - IDLE_S * part / 30 for part in range(31)]
    )
    room = WORKERS * WORKER_CPU
    lab.say('use of the last 3 s', cpu=used, of=room, runs=len(spans))
    broken = []
    for job, state in shown.items():
        lab.say('job asked for', job=job, state=state)
        working = any(
            task.startswith(job) and began < asked_at and ended > asked_at - IDLE_S
            for task, _, _, began, ended, _ in spans
        )
        idle = not working and 2 * used < room and room - used >= 2 * 4 * SMALL['cpu']
        if state in {'queued', 'running'} and idle:
            broken.append(
                f'LOST: {job}, shown as {state}, has had nothing running for {IDLE_S} s, '
                f'with at most {used} of {room} in use'
            )
    return broken


run_case(tempfile.mkdtemp(prefix='chive-trial-'), play)
