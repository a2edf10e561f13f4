"""Command that tells a job's story from log lines."""

import sys
from contextlib import ExitStack
from itertools import chain
from pathlib import Path
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from chiveworks.cli._exit_code import ExitCode
from chiveworks.events import build_job_timeline


class Explain(Command):
    """Tells what the logs of all processes say of one job."""

    name = 'explain'
    description = 'Tells the story of a job from log lines.'
    arguments: ClassVar[list[Argument]] = [
        argument('id', 'Id of the job.'),
        argument(
            'files', 'Log files; standard input without any.', True, multiple=True
        ),
    ]

    def handle(self) -> int:
        """Prints the lines of the job in order of time."""
        with ExitStack() as stack:
            files = [
                stack.enter_context(Path(name).open(errors='replace'))
                for name in self.argument('files')
            ]
            lines = chain.from_iterable(files) if files else sys.stdin
            story = build_job_timeline(self.argument('id'), lines)
        for line in story:
            since_s = line.at_s - story[0].at_s
            self.line(f'{since_s:9.3f} s  {line.process:<20} {line.text}')
        if not story:
            self.line_error('no line names this job')
        return ExitCode.OK if story else ExitCode.NOT_FOUND
