"""Runs the stand-in for the instance list."""

import argparse
from datetime import timedelta

from chiveworks.base import SystemClock
from standins._program import run_program
from standins.instances._app import create_app


def main() -> None:
    """Parses the arguments and serves until SIGTERM."""
    parser = argparse.ArgumentParser(prog='standins.instances')
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--lag-ms', type=int, default=1000)
    options = parser.parse_args()
    lag = timedelta(milliseconds=options.lag_ms)
    run_program(create_app(SystemClock(), lag), options.host, options.port)


if __name__ == '__main__':
    main()
