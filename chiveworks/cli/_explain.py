"""Command that shows the timeline of a job from log files."""

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
    """Shows the log events of all processes that concern one job."""

    name = 'explain'
    description = 'Shows the timeline of a job from log files.'
    arguments: ClassVar[list[Argument]] = [
        argument('id', 'Id of the job.'),
        argument('files', 'Log files; standard input by default.', True, multiple=True),
    ]

    def handle(self) -> int:
        """Prints the events of the job in chronological order."""
        with ExitStack() as stack:
            files = [
                stack.enter_context(Path(name).open(errors='replace'))
                for name in self.argument('files')
            ]
            lines = chain.from_iterable(files) if files else sys.stdin
            timeline = build_job_timeline(self.argument('id'), lines)
        for line in timeline:
            since_s = line.at_s - timeline[0].at_s
            self.line(f'{since_s:9.3f} s  {line.process:<20} {line.text}')
        if not timeline:
            self.line_error('no log line mentions this job')
        return ExitCode.OK if timeline else ExitCode.NOT_FOUND
