"""Command that shows the catalogue."""

from typing import Any, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from chiveworks.cli._exit_code import ExitCode
from chiveworks.cli._server_client import ServerClient
from chiveworks.cli._server_command import ServerCommand

_COLUMNS = ('name', 'service_class', 'tenant', 'owner', 'priority')
_RESOURCE_COLUMNS = ('cpu_millicores', 'memory_bytes', 'accelerators')


class CatalogueGet(ServerCommand):
    """Shows one entry, or a table of all entries."""

    name = 'catalogue get'
    description = 'Shows one entry, or all entries.'
    arguments: ClassVar[list[Argument]] = [
        argument('name', 'Name of the entry; all by default.', optional=True)
    ]

    async def run_with_client(self, client: ServerClient) -> ExitCode:
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
            (*_COLUMNS, *_RESOURCE_COLUMNS, 'revision'),
            (
                (
                    *(entry.get(column) for column in (*_COLUMNS, *_RESOURCE_COLUMNS)),
                    revisions.get(entry.get('name')),
                )
                for entry in body.get('entries', ())
            ),
        )
