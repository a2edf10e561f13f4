"""Command that submits a job."""

from pathlib import Path
from typing import Any, ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from chiveworks.cli._exit_code import ExitCode
from chiveworks.cli._job_view import show_job
from chiveworks.cli._server_client import ServerClient
from chiveworks.cli._server_command import SERVER_OPTIONS, ServerCommand
from chiveworks.cli._usage_error import UsageError


class JobSubmit(ServerCommand):
    """Submits a job; repeating the command with the same key is safe."""

    name = 'job submit'
    description = 'Submits a job with one task per payload.'
    arguments: ClassVar[list[Argument]] = [
        argument('tenant', 'Tenant of the job.'),
        argument('key', 'Key of the job, unique for the tenant.'),
        argument('entry', 'Catalogue entry that the tasks run.'),
        argument('payload', 'Payload of a task.', optional=True, multiple=True),
    ]
    options: ClassVar[list[Option]] = [
        *SERVER_OPTIONS,
        option('payloads', 'p', 'File with one payload per line.', flag=False),
    ]

    async def run_with_client(self, client: ServerClient) -> ExitCode:
        """Sends the job."""
        body = {
            'tenant': self.argument('tenant'),
            'key': self.argument('key'),
            'entry': self.argument('entry'),
            'payloads': self._payloads(),
        }
        return self.finish(await client.change('POST', 'jobs', body=body), self._show)

    def _payloads(self) -> list[str]:
        payloads = list(self.argument('payload') or ())
        path = self.option('payloads')
        if path:
            try:
                payloads.extend(Path(path).read_text(encoding='utf-8').splitlines())
            except (OSError, UnicodeDecodeError) as error:
                raise UsageError(f'{path} cannot be read: {error}') from error
        if not payloads:
            raise UsageError('specify at least one payload, or a file with --payloads')
        return payloads

    def _show(self, body: dict[str, Any]) -> None:
        show_job(self.printer, body)
