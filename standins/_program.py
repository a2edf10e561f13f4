"""Runs a stand-in's HTTP application on uvloop until SIGTERM."""

import os

# Read by libuv when a loop is created; unless 0, libuv opens io_uring descriptors.
os.environ['UV_USE_IO_URING'] = '0'

import uvloop  # noqa: E402
from aiohttp import web  # noqa: E402


def run_program(app: web.Application, host: str, port: int) -> None:
    """Serves `app` until SIGTERM or SIGINT, which end it with status 0."""
    web.run_app(
        app,
        host=host,
        port=port,
        print=None,
        access_log=None,
        shutdown_timeout=1,
        loop=uvloop.new_event_loop(),
    )
