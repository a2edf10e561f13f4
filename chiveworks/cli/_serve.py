"""Command that runs an entry process."""

import importlib
import inspect
import logging
from typing import ClassVar

import uvloop
from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from result import Err

from chiveworks.cli._exit_code import ExitCode
from chiveworks.cli._printer import Printer
from chiveworks.settings import Settings, load_settings
from chiveworks.telemetry import setup_logging

_LOG = logging.getLogger(__name__)


class Serve(Command):
    """Runs an entry process until it is stopped by a signal."""

    name = 'serve'
    description = 'Runs an entry process.'
    arguments: ClassVar[list[Argument]] = [argument('settings', 'YAML file.')]

    def handle(self) -> int:
        """Runs the process; returns its exit code."""
        loaded = load_settings(self.argument('settings'))
        if isinstance(loaded, Err):
            printer = Printer(self.io)
            for problem in loaded.err_value:
                printer.error(str(problem))
            return ExitCode.INVALID
        settings = loaded.ok_value
        setup_logging(settings.log_level, settings.zone)
        try:
            return _run(settings)
        except OSError as error:
            _LOG.error('the entry process cannot run: %s', error)
            return ExitCode.NOT_RUN
        except Exception:
            _LOG.exception('the entry process failed')
            return ExitCode.OUTCOME_UNKNOWN


def _run(settings: Settings) -> int:
    # Imported here so that the other commands start faster.
    outcome = importlib.import_module('chiveworks.entry').run_entry(settings)
    if inspect.iscoroutine(outcome):
        outcome = uvloop.run(outcome)
    return int(outcome or ExitCode.OK)
