"""Command that deletes a catalogue entry."""

from typing import Any, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from chiveworks.cli._exit_code import ExitCode
from chiveworks.cli._server_client import ServerClient
from chiveworks.cli._server_command import AUTHOR_OPTION, SERVER_OPTIONS, ServerCommand


class CatalogueDelete(ServerCommand):
    """Deletes an entry, unless it was changed concurrently."""

    name = 'catalogue delete'
    description = 'Deletes an entry; its history is kept.'
    arguments: ClassVar[list[Argument]] = [argument('name', 'Name of the entry.')]
    options: ClassVar[list[Option]] = [*SERVER_OPTIONS, AUTHOR_OPTION]

    async def run_with_client(self, client: ServerClient) -> ExitCode:
        """Reads the revision and deletes the entry by compare-and-swap."""
        name = self.argument('name')
        current = await client.get('catalogue', name)
        if current.failure is not None:
            return self.finish(current, self.printer.fields)
        expected = int(current.body.get('revision', 0))
        reply = await client.change(
            'DELETE',
            'catalogue',
            name,
            query={'expected': expected, 'author': self.author()},
        )
        return self.finish(reply, self._show)

    def _show(self, body: dict[str, Any]) -> None:
        self.printer.line(f'deleted at revision {body.get("revision")}')
