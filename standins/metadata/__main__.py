"""Runs the stand-in for the platform's metadata store."""

import argparse

from chiveworks.base import SystemClock
from standins._program import run_program
from standins.metadata._app import create_app


def main() -> None:
    """Parses the arguments and serves until SIGTERM."""
    parser = argparse.ArgumentParser(prog='standins.metadata')
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    options = parser.parse_args()
    run_program(create_app(SystemClock()), options.host, options.port)


if __name__ == '__main__':
    main()
