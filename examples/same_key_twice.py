"""Submits a job twice with the same idempotency key, through two zones; it runs once.

The second submission returns the job of the first. A submission with the same key
but a different payload is rejected. Exits with 1 if the outcome is different.
"""

import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from examples.fleet import Audit, Fleet, FleetShape

_SHAPE = FleetShape(('laita', 'isole'), (2, 2), 1, 'compteurs', 0.5)
_SHORT_RENEWAL_INTERVALS = {'worker_renew_ms': 500, 'idle_worker_renew_ms': 1000}
_JOB_TIMEOUT_S = 10
_ACCEPTED, _OK, _CONFLICT = 202, 200, 409
_ENTRY = {
    'name': 'recalculation',
    'owner': 'billing',
    'tenant': 'regie',
    'service_class': 'batch',
    'can_checkpoint': True,
}


async def submit(fleet: Fleet, entry: str, duration_ms: int) -> tuple[int, Any]:
    """Submits the job through an entry process; returns status and response body."""
    job = {
        'tenant': 'regie',
        'key': 'bill-2041',
        'entry': 'recalculation',
        'payloads': [json.dumps({'duration_ms': duration_ms})],
    }
    url = f'{fleet.entry_urls[entry]}/v1/jobs'
    async with fleet.http.post(url, json=job) as response:
        return response.status, await response.json()


async def wait_for_job(fleet: Fleet) -> str:
    """Waits until the job has finished and returns its last known state."""
    deadline = time.monotonic() + _JOB_TIMEOUT_S
    state = ''
    while state != 'finished' and time.monotonic() < deadline:
        await asyncio.sleep(0.2)
        url = f'{fleet.entry_urls["isole-e0"]}/v1/jobs/regie/bill-2041'
        async with fleet.http.get(url) as response:
            state = (await response.json())['state']
    return state


async def run_scenario(fleet: Fleet) -> bool:
    """Runs the scenario and returns whether its outcome is as expected."""
    url = f'{fleet.entry_urls["laita-e0"]}/v1/catalogue/recalculation'
    target = f'{url}?expected=0&author=example'
    async with fleet.http.put(target, json=_ENTRY) as response:
        response.raise_for_status()
    # A catalogue change reaches all zones within 3 s.
    await asyncio.sleep(3)
    first, second = await asyncio.gather(
        submit(fleet, 'laita-e0', 1000), submit(fleet, 'isole-e0', 1000)
    )
    print(f'status of two concurrent submissions: {first[0]} and {second[0]}')
    conflicting = await submit(fleet, 'isole-e0', 9000)
    print(f'same key, other payload: {conflicting[0]} {conflicting[1].get("reason")}')
    state = await wait_for_job(fleet)
    audit = Audit.from_logs(await fleet.worker_logs())
    print(f'job {state}; runs on all workers: {len(audit.starts)}')
    return (
        sorted((first[0], second[0])) == [_OK, _ACCEPTED]
        and first[1]['job_id'] == second[1]['job_id']
        and conflicting[0] == _CONFLICT
        and state == 'finished'
        and len(audit.starts) == 1
    )


async def main() -> int:
    """Runs the example and returns the exit code."""
    with tempfile.TemporaryDirectory(prefix='chiveworks-key-') as directory:
        async with Fleet(
            _SHAPE, Path(directory), settings=_SHORT_RENEWAL_INTERVALS
        ) as fleet:
            is_correct = await run_scenario(fleet)
    print('the job ran once' if is_correct else 'FAILED: unexpected outcome')
    return 0 if is_correct else 1


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
