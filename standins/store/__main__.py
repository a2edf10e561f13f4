"""Runs the stand-in for the key-value store."""

import argparse

from chiveworks.base import SystemClock
from standins._program import run_program
from standins.store._app import create_app


def main() -> None:
    """Parses the arguments and serves until SIGTERM."""
    parser = argparse.ArgumentParser(prog='standins.store')
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--writes-per-s', type=int, default=500)
    parser.add_argument('--reads-per-s', type=int, default=2000)
    options = parser.parse_args()
    app = create_app(SystemClock(), options.writes_per_s, options.reads_per_s)
    run_program(app, options.host, options.port)


if __name__ == '__main__':
    main()
