"""A lasting task loses its worker three times in a row; its job is shown as failed."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins'))
import lab as l

CRASHES = 3
DOWN_S = 2.0


def case(lab: l.Lab) -> int:
    lab.configure(max_attempts=2, target_latency_ms=2500)
    lab.wait_ready()
    job = l.job_id()
    step = {
        'count': 1,
        'cpu': 3200,
        'mem_mb': 6400,
        'estimate_ms': 320,
        'long_running': True,
        'image': 'img-1',
        'target_ms': 18,
    }
    lab.submit(job, [step], {'lasts': True, 'cpu': 3200})
    task = f'{job}.0.0.0'
    down: list[tuple[float, str]] = []
    for number in range(1, CRASHES + 1):
        start = lab.wait_until(
            lambda: any(each['run'] >= number for each in lab.starts(job))
            and lab.starts(job)[-1],
            15,
            f'run {number} of the task',
        )
        if not lab.trouble:
            break
        time.sleep(0.3)
        worker = start['worker']
        lab.kill(worker)
        lab.note(f'the worker {worker} crashed under run {start["run"]} of {task}')
        time.sleep(DOWN_S)
        lab.start_worker(worker)
        lab.note(f'the worker {worker} started again under its id')
    shown = ''
    until = time.time() + 10
    while time.time() < until:
        shown = lab.state(job)
        if shown in {'failed', 'cancelled', 'gone'}:
            break
        time.sleep(0.5)
    failed = [e for e in lab.events() if e['event'] == 'end' and e['how'] == 'failed']
    broken = shown in {'failed', 'cancelled', 'gone'}
    return lab.finish(
        broken,
        f'the lasting job that nobody cancelled is shown as {shown!r}; '
        f'{len(failed)} of its runs ended failed',
    )


l.run(case)
