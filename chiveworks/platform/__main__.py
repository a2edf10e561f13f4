"""Entry point of the scheduler process on the platform."""

import os

# Keeps libuv from opening an io_uring descriptor. Set before anything imports uvloop;
# libuv reads it when a loop is created.
os.environ['UV_USE_IO_URING'] = '0'

import gc  # noqa: E402
from pathlib import Path  # noqa: E402

import uvloop  # noqa: E402

from chiveworks.platform import PlatformProcess, read_boot_settings  # noqa: E402

#: Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = 'CHIVEWORKS_BOOT'
#: Net allocations of container objects between two garbage collections, which are
#: rarely needed since reference counting frees most objects.
GC_THRESHOLD = 50_000


def main() -> None:
    """Runs the process until it receives SIGTERM."""
    path = Path(os.environ[SETTINGS_VARIABLE])
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    uvloop.run(_serve(path))


async def _serve(path: Path) -> None:
    await PlatformProcess(read_boot_settings(path), path).run()


if __name__ == '__main__':
    main()
