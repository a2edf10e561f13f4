"""Command that checks a settings file."""

import dataclasses
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from result import Err

from chiveworks.cli._exit_code import ExitCode
from chiveworks.cli._server_command import SERVER_OPTIONS, make_printer
from chiveworks.settings import load_settings


class SettingsCheck(Command):
    """Checks a settings file without running an entry process."""

    name = 'settings check'
    description = 'Checks a settings file.'
    arguments: ClassVar[list[Argument]] = [argument('file', 'YAML file.')]
    options: ClassVar[list[Option]] = [SERVER_OPTIONS[1]]

    def handle(self) -> int:
        """Reports every problem with its line."""
        printer = make_printer(self)
        path = self.argument('file')
        loaded = load_settings(path)
        problems = loaded.err_value if isinstance(loaded, Err) else ()
        if printer.as_json:
            printer.json([dataclasses.asdict(problem) for problem in problems])
        elif not problems:
            printer.line(f'{path}: valid')
        for problem in problems:
            printer.error(str(problem))
        return ExitCode.INVALID if problems else ExitCode.OK
