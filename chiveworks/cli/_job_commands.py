"""Commands that show and cancel jobs."""

from typing import Any, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from chiveworks.cli._exit_code import ExitCode
from chiveworks.cli._job_view import show_job, show_jobs
from chiveworks.cli._server_client import ServerClient
from chiveworks.cli._server_command import ServerCommand

_JOB_ARGUMENTS = (argument('tenant', 'Tenant.'), argument('key', 'Key of the job.'))


class JobStatus(ServerCommand):
    """Shows a job and its tasks."""

    name = 'job status'
    description = 'Shows a job and its tasks.'
    arguments: ClassVar[list[Argument]] = [*_JOB_ARGUMENTS]

    async def run_with_client(self, client: ServerClient) -> ExitCode:
        """Reads the job."""
        reply = await client.get('jobs', self.argument('tenant'), self.argument('key'))
        return self.finish(reply, self._show)

    def _show(self, body: dict[str, Any]) -> None:
        show_job(self.printer, body)


class JobList(ServerCommand):
    """Shows a tenant's jobs."""

    name = 'job list'
    description = "Shows a tenant's jobs."
    arguments: ClassVar[list[Argument]] = [argument('tenant', 'Tenant.')]

    async def run_with_client(self, client: ServerClient) -> ExitCode:
        """Reads the jobs."""
        reply = await client.get('jobs', query={'tenant': self.argument('tenant')})
        return self.finish(reply, self._show)

    def _show(self, body: dict[str, Any]) -> None:
        show_jobs(self.printer, body.get('jobs', []))


class JobCancel(ServerCommand):
    """Cancels a job."""

    name = 'job cancel'
    description = 'Cancels a job; none of its tasks starts afterwards.'
    arguments: ClassVar[list[Argument]] = [*_JOB_ARGUMENTS]

    async def run_with_client(self, client: ServerClient) -> ExitCode:
        """Sends the cancellation."""
        reply = await client.change(
            'DELETE', 'jobs', self.argument('tenant'), self.argument('key')
        )
        return self.finish(reply, self._show)

    def _show(self, body: dict[str, Any]) -> None:
        if 'tasks' in body:
            show_job(self.printer, body)
        else:
            self.printer.line('cancelled')


class JobResult(ServerCommand):
    """Writes the results of a finished job, one line per task."""

    name = 'job result'
    description = 'Writes the results of a finished job.'
    arguments: ClassVar[list[Argument]] = [*_JOB_ARGUMENTS]

    async def run_with_client(self, client: ServerClient) -> ExitCode:
        """Reads the job; the exit code is 0 only if it has finished."""
        reply = await client.get('jobs', self.argument('tenant'), self.argument('key'))
        code = self.finish(reply, self._show)
        state = reply.body.get('state')
        if code is not ExitCode.OK or state == 'finished':
            return code
        self.printer.error(f'the job has no complete result, it is {state}')
        self.printer.next_step('see its tasks with chiveworks job status')
        unknown = state == 'outcome_unknown'
        return ExitCode.OUTCOME_UNKNOWN if unknown else ExitCode.NOT_RUN

    def _show(self, body: dict[str, Any]) -> None:
        if body.get('state') == 'finished':
            for task in body.get('tasks', ()):
                self.printer.line(str(task.get('result')))
