"""Entry point of the command line program."""

import os

# Keeps libuv from opening an io_uring descriptor. Must be set before uvloop is
# imported; libuv reads it when a loop is created.
os.environ['UV_USE_IO_URING'] = '0'

import sys  # noqa: E402

from chiveworks.cli import run_command_line  # noqa: E402


def main() -> int:
    """Runs the command line; returns the exit code."""
    return run_command_line()


if __name__ == '__main__':
    sys.exit(main())
