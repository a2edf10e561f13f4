"""Runs the stand-in for a network link."""

import argparse

from chiveworks.base import SystemClock
from standins._program import run_program
from standins.link._app import create_app
from standins.link._link import Link


def main() -> None:
    """Parses the arguments and relays until SIGTERM."""
    parser = argparse.ArgumentParser(prog='standins.link')
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--target', required=True, help='HOST:PORT')
    parser.add_argument('--control-port', type=int, required=True)
    options = parser.parse_args()
    host, _, port = options.target.rpartition(':')
    link = Link(SystemClock(), options.host, options.port, (host, int(port)))
    run_program(create_app(link), options.host, options.control_port)


if __name__ == '__main__':
    main()
