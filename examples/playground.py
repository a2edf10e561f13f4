"""Starts a small fleet for trying out commands; stops after 10 minutes or on Ctrl-C.

Prints the address for CHIVEWORKS_SERVER, then for each worker the URL at which its
stand-in accepts manual overrides, which bypass the scheduler.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from examples.fleet import Fleet, FleetShape

_SHAPE = FleetShape(('laita', 'kerbertrand', 'isole'), (2, 2, 2), 1, 'compteurs', 0.5)
_RUN_TIME_S = 600


async def main(run_time_s: float = _RUN_TIME_S) -> int:
    """Runs the fleet and returns the exit code."""
    with tempfile.TemporaryDirectory(prefix='chiveworks-playground-') as directory:
        async with Fleet(_SHAPE, Path(directory)) as fleet:
            print(f'export CHIVEWORKS_SERVER={next(iter(fleet.entry_urls.values()))}')
            for worker, url in fleet.worker_urls.items():
                print(f'{worker}: {url}/w/{worker}/override')
            print('ready', flush=True)
            await asyncio.sleep(run_time_s)
    return 0


if __name__ == '__main__':
    try:
        sys.exit(asyncio.run(main()))
    except KeyboardInterrupt:
        sys.exit(0)
