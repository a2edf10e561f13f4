"""Commands that adopt or revert manual overrides."""

from typing import Any, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from chiveworks.cli._exit_code import ExitCode
from chiveworks.cli._server_client import ServerClient
from chiveworks.cli._server_command import AUTHOR_OPTION, SERVER_OPTIONS, ServerCommand


class _OverrideCommand(ServerCommand):
    arguments: ClassVar[list[Argument]] = [
        argument('id', 'Id of the override, as shown by `chiveworks status`.')
    ]
    options: ClassVar[list[Option]] = [*SERVER_OPTIONS, AUTHOR_OPTION]
    action: ClassVar[str]

    async def run_with_client(self, client: ServerClient) -> ExitCode:
        """Sends the action for the override."""
        reply = await client.change(
            'POST',
            'overrides',
            self.argument('id'),
            self.action,
            query={'author': self.author()},
        )
        return self.finish(reply, self._show)

    def _show(self, _body: dict[str, Any]) -> None:
        self.printer.line(f'override {self.argument("id")}: {self.action} accepted')


class CatalogueAdopt(_OverrideCommand):
    """Makes a manual override part of the catalogue."""

    name = 'catalogue adopt'
    description = 'Adopts a manual override into the catalogue.'
    action = 'adopt'


class CatalogueRevert(_OverrideCommand):
    """Undoes a manual override."""

    name = 'catalogue revert'
    description = 'Undoes a manual override.'
    action = 'revert'
