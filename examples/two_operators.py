"""Two operators change one entry at the same time; nobody's change is lost.

Both read the same revision. One change is accepted, the other gets a conflict
that shows what the colleague changed, and is applied on top of it. Exits with 1
if the story does not hold.
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
_PROMISED_S = 3
_ENTRY = {
    'name': 'recalculation',
    'owner': 'billing',
    'tenant': 'regie',
    'service_class': 'batch',
    'can_checkpoint': True,
}


async def put(
    fleet: Fleet, zone: str, author: str, expected: int, **fields: Any
) -> tuple[int, Any]:
    """Writes the entry through a zone's entry process; returns status and answer."""
    url = f'{fleet.entry_urls[f"{zone}-e0"]}/v1/catalogue/recalculation'
    target = f'{url}?expected={expected}&author={author}'
    async with fleet.http.put(target, json={**_ENTRY, **fields}) as answer:
        return answer.status, await answer.json()


async def in_force_everywhere(fleet: Fleet, revision: int) -> float:
    """Waits until all entry processes have a revision; returns the time in s."""
    began = time.monotonic()
    for url in fleet.entry_urls.values():
        found = 0
        while found < revision and time.monotonic() - began < _PROMISED_S:
            async with fleet.http.get(f'{url}/v1/catalogue') as answer:
                found = (await answer.json())['revisions'].get('recalculation', 0)
            await asyncio.sleep(0.05)
    return time.monotonic() - began


async def tell(fleet: Fleet) -> bool:
    """Tells the story; returns whether it holds."""
    _, created = await put(fleet, 'laita', 'ines', 0)
    base = created['revision']
    ran = await asyncio.gather(
        put(fleet, 'laita', 'ines', base, retry_limit=5),
        put(fleet, 'isole', 'malo', base, cpu_millicores=2000),
    )
    print(f'answers to Ines and Malo: {ran[0][0]} and {ran[1][0]}')
    refused = next((body for status, body in ran if status == _CONFLICT), None)
    if refused is None:
        return False
    for change in refused['diff']:
        print(f'conflict: {change["field"]} {change["stored"]} / {change["proposed"]}')
    status, merged = await put(
        fleet, 'isole', 'both', refused['revision'], retry_limit=5, cpu_millicores=2000
    )
    spread_s = await in_force_everywhere(fleet, merged['revision'])
    print(f'merged: {status}, in force everywhere after {spread_s:.2f} s')
    accepted = sorted(one for one, _ in ran) == [_OK, _CONFLICT]
    return accepted and status == _OK and spread_s < _PROMISED_S


async def main() -> int:
    """Runs the example; returns the exit code."""
    with tempfile.TemporaryDirectory(prefix='chiveworks-race-') as name:
        async with Fleet(_SHAPE, Path(name)) as fleet:
            held = await tell(fleet)
    print('no change was lost' if held else 'THE STORY DOES NOT HOLD')
    return 0 if held else 1


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
