"""The first write of a job is done late; its cancelling in between has no effect."""

import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins'))
import lab as l

#: TROUBLE=0 runs the same without the disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
#: The store does the lost write this much later; `platform_lost` names 1 to 6 s.
LATE_S = 5.5
CANCEL_S = l.BOUNDS['cancel_ms'] / 1000


def case(lab: l.Lab) -> int:
    lab.configure()
    lab.wait_ready()
    first, second, *_ = lab.fronts
    job = l.job_id()
    step = {'count': 2, 'cpu': 1000, 'mem_mb': 1000, 'estimate_ms': 20000}
    body = {'spec': l.json.dumps({'ms': 20000, 'cpu': 1000}), 'steps': [step]}
    if TROUBLE:
        # The first write is done late, its repetitions not at all; none is answered.
        fault = {
            'key_prefix': f'chiveworks/jobs/{job}',
            'delays': [LATE_S, None, None, None],
        }
        l.call(lab.store, 'POST', '/test/fault', fault)
        lab.note('the store loses the answers to the writes of the next job')
    status, _ = lab.request('POST', job, body, first)
    l.call(lab.store, 'POST', '/test/fault', {'key_prefix': '', 'delays': []})
    lab.note('the store answers again')
    if status not in {200, 504, 502, None}:
        raise l.CannotRunError(f'the job was refused with {status}')
    time.sleep(0.1)
    status, _ = lab.request('DELETE', job, entry=second)
    if status not in {200, 410}:
        raise l.CannotRunError(f'the cancelling was not acknowledged: {status}')
    acknowledged_at = time.time()
    time.sleep(LATE_S + 4)
    shown = lab.state(job, second)
    _, reply = l.call(lab.store, 'POST', '/test/fault', {'key_prefix': '', 'delays': []})
    for hit in reply['hits']:
        lab.note(f'the store: a lost write of {hit["keys"]}, delayed by {hit["delay_s"]}')
    late = [e for e in lab.starts(job) if e['t'] - acknowledged_at > CANCEL_S]
    after = f', {late[0]["t"] - acknowledged_at:.1f} s after it' if late else ''
    return lab.finish(
        bool(late),
        f'the cancelling was acknowledged with {status}; {len(late)} tasks of the job '
        f'were started later than {CANCEL_S:g} s after that{after}; '
        f'its state is {shown!r}',
    )


l.run(case)
