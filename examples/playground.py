"""Starts a small fleet to try commands on; ends after ten minutes or Ctrl-C.

Prints the address for CHIVEWORKS_SERVER, then the stand-ins of the workers, on
which something can be changed by hand.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from examples.fleet import Fleet, FleetShape

_SHAPE = FleetShape(('laita', 'kerbertrand', 'isole'), (2, 2, 2), 1, 'compteurs', 0.5)
_LIMIT_S = 600


async def main(limit_s: float = _LIMIT_S) -> int:
    """Runs the fleet; returns the exit code."""
    with tempfile.TemporaryDirectory(prefix='chiveworks-playground-') as name:
        async with Fleet(_SHAPE, Path(name)) as fleet:
            print(f'export CHIVEWORKS_SERVER={next(iter(fleet.entry_urls.values()))}')
            for worker, url in fleet.worker_urls.items():
                print(f'{worker}: {url}/w/{worker}/override')
            print('ready', flush=True)
            await asyncio.sleep(limit_s)
    return 0


if __name__ == '__main__':
    try:
        sys.exit(asyncio.run(main()))
    except KeyboardInterrupt:
        sys.exit(0)
