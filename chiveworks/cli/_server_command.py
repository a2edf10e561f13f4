"""Base class of the commands that call an entry process."""

import abc
import asyncio
import getpass
import os
from collections.abc import Callable
from typing import Any, ClassVar

import aiohttp
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from yarl import URL

from chiveworks.cli._exit_code import ExitCode
from chiveworks.cli._printer import Printer
from chiveworks.cli._reply import Reply
from chiveworks.cli._server_client import ServerClient
from chiveworks.cli._usage_error import UsageError

SERVER_OPTIONS = (
    option(
        'server',
        's',
        'URL of an entry process; CHIVEWORKS_SERVER by default.',
        flag=False,
    ),
    option('output', 'o', 'Output format: table or json.', flag=False, default='table'),
)
AUTHOR_OPTION = option(
    'author',
    'a',
    "Author of the change; CHIVEWORKS_AUTHOR or the user's name by default.",
    flag=False,
)


class ServerCommand(Command, abc.ABC):
    """Command that calls an entry process; subclasses define `run_with_client`."""

    options: ClassVar[list[Option]] = [*SERVER_OPTIONS]

    def handle(self) -> int:
        """Runs the command; returns its exit code."""
        server = self._server()
        self.printer = make_printer(self)
        return asyncio.run(self._connect_and_run(server))

    @abc.abstractmethod
    async def run_with_client(self, client: ServerClient) -> ExitCode:
        """Executes the command.

        Args:
            client: Client for the selected entry process.

        Returns:
            The exit code.
        """

    def finish(self, reply: Reply, show: Callable[[dict[str, Any]], None]) -> ExitCode:
        """Shows a reply or reports its failure; returns the exit code."""
        if self.printer.as_json and reply.body:
            self.printer.json(reply.body)
        if reply.failure is not None:
            self.printer.failure(reply.failure)
        elif not self.printer.as_json:
            show(reply.body)
        return reply.exit_code

    def author(self) -> str:
        """Returns the author of a change."""
        configured = self.option('author') or os.environ.get('CHIVEWORKS_AUTHOR')
        if configured:
            return str(configured)
        try:
            return getpass.getuser()
        except (KeyError, OSError) as error:
            raise UsageError('specify the author with --author') from error

    async def _connect_and_run(self, server: str) -> ExitCode:
        async with aiohttp.ClientSession() as session:
            return await self.run_with_client(ServerClient(session, server))

    def _server(self) -> str:
        server = self.option('server') or os.environ.get('CHIVEWORKS_SERVER', '')
        if not server:
            raise UsageError(
                'specify the URL of an entry process with --server or CHIVEWORKS_SERVER'
            )
        try:
            url = URL(server)
        except ValueError as error:
            raise UsageError(f'the server is not a URL: {error}') from error
        if url.scheme not in {'http', 'https'} or not url.host:
            raise UsageError(
                f'the server must be an http:// or https:// URL, got {server}'
            )
        return str(server)


def make_printer(command: Command) -> Printer:
    """Returns a printer for the output format in the command's options."""
    output = command.option('output')
    if output not in {'table', 'json'}:
        raise UsageError(f'--output must be table or json, got {output}')
    return Printer(command.io, as_json=output == 'json')
