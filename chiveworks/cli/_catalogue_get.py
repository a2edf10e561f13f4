"""Command that shows the catalogue."""

from typing import Any, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from chiveworks.cli._exit_code import ExitCode
from chiveworks.cli._server_client import ServerClient
from chiveworks.cli._server_command import ServerCommand

_COLUMNS = ('name', 'service_class', 'tenant', 'owner', 'priority')
_SIZES = ('cpu_millicores', 'memory_bytes', 'accelerators')


class CatalogueGet(ServerCommand):
    """Shows one entry, or all in a table."""

    name = 'catalogue get'
    description = 'Shows one entry, or all.'
    arguments: ClassVar[list[Argument]] = [
        argument('name', 'Name of the entry; all when absent.', optional=True)
    ]

    async def talk(self, client: ServerClient) -> ExitCode:
        """Reads the catalogue."""
        name = self.argument('name')
        if name:
            return self.finish(await client.get('catalogue', name), self._show_one)
        return self.finish(await client.get('catalogue'), self._show_all)

    def _show_one(self, body: dict[str, Any]) -> None:
        self.printer.fields({**body['entry'], 'revision': body.get('revision')})

    def _show_all(self, body: dict[str, Any]) -> None:
        revisions = body.get('revisions', {})
        self.printer.table(
            (*_COLUMNS, *_SIZES, 'revision'),
            (
                (
                    *(entry.get(column) for column in (*_COLUMNS, *_SIZES)),
                    revisions.get(entry.get('name')),
                )
                for entry in body.get('entries', ())
            ),
        )
