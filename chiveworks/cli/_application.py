"""The command line application."""

import logging
from collections.abc import Sequence

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.output import Output

import chiveworks
from chiveworks.cli._catalogue_apply import CatalogueApply
from chiveworks.cli._catalogue_delete import CatalogueDelete
from chiveworks.cli._catalogue_diff import CatalogueDiff
from chiveworks.cli._catalogue_get import CatalogueGet
from chiveworks.cli._catalogue_history import CatalogueHistory
from chiveworks.cli._exit_code import ExitCode
from chiveworks.cli._explain import Explain
from chiveworks.cli._job_commands import JobCancel, JobList, JobResult, JobStatus
from chiveworks.cli._job_submit import JobSubmit
from chiveworks.cli._override_commands import CatalogueAdopt, CatalogueRevert
from chiveworks.cli._printer import Printer
from chiveworks.cli._serve import Serve
from chiveworks.cli._settings_check import SettingsCheck
from chiveworks.cli._status import Status
from chiveworks.cli._zone_commands import ZoneBack, ZoneOut, ZoneStatus

_LOG = logging.getLogger(__name__)

_COMMANDS = (
    Serve,
    SettingsCheck,
    CatalogueApply,
    CatalogueDelete,
    CatalogueGet,
    CatalogueDiff,
    CatalogueHistory,
    CatalogueAdopt,
    CatalogueRevert,
    ZoneOut,
    ZoneBack,
    ZoneStatus,
    JobSubmit,
    JobStatus,
    JobList,
    JobCancel,
    JobResult,
    Status,
    Explain,
)


def build_application() -> Application:
    """Returns the application with all commands and cleo's `completions`."""
    application = Application('chiveworks', chiveworks.__version__)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in _COMMANDS:
        application.add(command())
    return application


def run_command_line(
    argv: Sequence[str] | None = None,
    output: Output | None = None,
    error_output: Output | None = None,
) -> int:
    """Runs one command.

    Args:
        argv: Program name and arguments; those of the process if None.
        output: Output stream; the standard output if None.
        error_output: Error stream; the standard error stream if None.

    Returns:
        The exit code, one of `ExitCode`.
    """
    application = build_application()
    source = ArgvInput(None if argv is None else list(argv))
    printer = Printer(application.create_io(source, output, error_output))
    try:
        return application.run(source, output, error_output)
    except CleoError as error:
        for line in filter(None, map(str.strip, str(error).splitlines())):
            printer.error(line)
        return ExitCode.INVALID
    except Exception as error:
        _LOG.debug('the command failed', exc_info=True)
        printer.error(f'the command failed: {type(error).__name__}: {error}')
        return ExitCode.OUTCOME_UNKNOWN
