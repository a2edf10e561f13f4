"""A bill is submitted twice with one key, through two zones, and runs once.

The second submission finds the first one's job. The same key with other
contents is refused. Exits with 1 if the story does not hold.
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
_QUICK = {'worker_renew_ms': 500, 'idle_worker_renew_ms': 1000}
_LIMIT_S = 10
_ACCEPTED, _FOUND, _CONFLICT = 202, 200, 409
_ENTRY = {
    'name': 'recalculation',
    'owner': 'billing',
    'tenant': 'regie',
    'service_class': 'batch',
    'can_checkpoint': True,
}


async def submit(fleet: Fleet, entry: str, duration_ms: int) -> tuple[int, Any]:
    """Submits the bill through one entry process; returns status and answer."""
    job = {
        'tenant': 'regie',
        'key': 'bill-2041',
        'entry': 'recalculation',
        'payloads': [json.dumps({'duration_ms': duration_ms})],
    }
    url = f'{fleet.entry_urls[entry]}/v1/jobs'
    async with fleet.http.post(url, json=job) as answer:
        return answer.status, await answer.json()


async def await_end(fleet: Fleet) -> str:
    """Waits for the end of the job; returns its last known state."""
    deadline = time.monotonic() + _LIMIT_S
    state = ''
    while state != 'finished' and time.monotonic() < deadline:
        await asyncio.sleep(0.2)
        url = f'{fleet.entry_urls["isole-e0"]}/v1/jobs/regie/bill-2041'
        async with fleet.http.get(url) as answer:
            state = (await answer.json())['state']
    return state


async def tell(fleet: Fleet) -> bool:
    """Tells the story; returns whether it holds."""
    url = f'{fleet.entry_urls["laita-e0"]}/v1/catalogue/recalculation'
    target = f'{url}?expected=0&author=example'
    async with fleet.http.put(target, json=_ENTRY) as answer:
        answer.raise_for_status()
    # The entry reaches the other zone within 3 s.
    await asyncio.sleep(3)
    first, second = await asyncio.gather(
        submit(fleet, 'laita-e0', 1000), submit(fleet, 'isole-e0', 1000)
    )
    print(f'two submissions at once: {first[0]} and {second[0]}')
    other = await submit(fleet, 'isole-e0', 9000)
    print(f'same key, other contents: {other[0]} {other[1].get("reason")}')
    state = await await_end(fleet)
    audit = Audit.from_logs(await fleet.worker_logs())
    print(f'job {state}; runs on all workers: {len(audit.starts)}')
    return (
        sorted((first[0], second[0])) == [_FOUND, _ACCEPTED]
        and first[1]['job_id'] == second[1]['job_id']
        and other[0] == _CONFLICT
        and state == 'finished'
        and len(audit.starts) == 1
    )


async def main() -> int:
    """Runs the example; returns the exit code."""
    with tempfile.TemporaryDirectory(prefix='chiveworks-key-') as name:
        async with Fleet(_SHAPE, Path(name), settings=_QUICK) as fleet:
            held = await tell(fleet)
    print('the bill ran once' if held else 'THE STORY DOES NOT HOLD')
    return 0 if held else 1


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
