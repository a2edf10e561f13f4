"""Two operators change a catalogue entry concurrently; no change is lost.

Both start from the same revision. One change is accepted; the other is rejected
with a conflict that shows the accepted change, and is then merged with it. Exits
with 1 if the outcome is different.
"""

import asyncio
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from examples.fleet import Fleet, FleetShape

_SHAPE = FleetShape(('laita', 'isole'), (1, 1), 1, 'compteurs', 0.5)
_OK, _CONFLICT = 200, 409
_PROPAGATION_LIMIT_S = 3
_ENTRY = {
    'name': 'recalculation',
    'owner': 'billing',
    'tenant': 'regie',
    'service_class': 'batch',
    'can_checkpoint': True,
}


async def put_entry(
    fleet: Fleet, zone: str, author: str, expected: int, **fields: Any
) -> tuple[int, Any]:
    """Writes the entry through a zone's entry process; returns status and body."""
    url = f'{fleet.entry_urls[f"{zone}-e0"]}/v1/catalogue/recalculation'
    target = f'{url}?expected={expected}&author={author}'
    async with fleet.http.put(target, json={**_ENTRY, **fields}) as response:
        return response.status, await response.json()


async def wait_for_revision(fleet: Fleet, revision: int) -> float:
    """Waits until all entry processes have a revision; returns the delay in s."""
    started_at = time.monotonic()
    for url in fleet.entry_urls.values():
        known_revision = 0
        while (
            known_revision < revision
            and time.monotonic() - started_at < _PROPAGATION_LIMIT_S
        ):
            async with fleet.http.get(f'{url}/v1/catalogue') as response:
                known_revision = (await response.json())['revisions'].get(
                    'recalculation', 0
                )
            await asyncio.sleep(0.05)
    return time.monotonic() - started_at


async def run_scenario(fleet: Fleet) -> bool:
    """Runs the scenario and returns whether its outcome is as expected."""
    _, created = await put_entry(fleet, 'laita', 'ines', 0)
    base = created['revision']
    responses = await asyncio.gather(
        put_entry(fleet, 'laita', 'ines', base, retry_limit=5),
        put_entry(fleet, 'isole', 'malo', base, cpu_millicores=2000),
    )
    print(f'status for Ines and Malo: {responses[0][0]} and {responses[1][0]}')
    rejected = next((body for status, body in responses if status == _CONFLICT), None)
    if rejected is None:
        return False
    for change in rejected['diff']:
        print(f'conflict: {change["field"]} {change["stored"]} / {change["proposed"]}')
    status, merged = await put_entry(
        fleet, 'isole', 'both', rejected['revision'], retry_limit=5, cpu_millicores=2000
    )
    propagation_s = await wait_for_revision(fleet, merged['revision'])
    print(f'merged: {status}, applied by all processes after {propagation_s:.2f} s')
    one_accepted = sorted(code for code, _ in responses) == [_OK, _CONFLICT]
    return one_accepted and status == _OK and propagation_s < _PROPAGATION_LIMIT_S


async def main() -> int:
    """Runs the example and returns the exit code."""
    with tempfile.TemporaryDirectory(prefix='chiveworks-race-') as directory:
        async with Fleet(_SHAPE, Path(directory)) as fleet:
            is_correct = await run_scenario(fleet)
    print('no change was lost' if is_correct else 'FAILED: unexpected outcome')
    return 0 if is_correct else 1


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
