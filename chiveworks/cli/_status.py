"""Command that shows the state of everything."""

from typing import Any

from chiveworks.cli._exit_code import ExitCode
from chiveworks.cli._server_client import ServerClient
from chiveworks.cli._server_command import ServerCommand


class Status(ServerCommand):
    """Shows services, jobs, overrides, unknown outcomes and zones."""

    name = 'status'
    description = 'Shows services, jobs, overrides, unknown outcomes and zones.'

    async def talk(self, client: ServerClient) -> ExitCode:
        """Reads the status."""
        return self.finish(await client.get('status'), self._show)

    def _show(self, body: dict[str, Any]) -> None:
        """Shows each part in a table with the columns that the server sent."""
        for title, part in body.items():
            self.printer.line(f'{title}:')
            self._show_part(part)
            self.printer.line('')

    def _show_part(self, part: Any) -> None:
        if isinstance(part, dict):
            self.printer.fields(part)
        elif _is_table(part):
            # Keeps the order in which the columns first appear.
            columns = list({name: None for row in part for name in row})
            self.printer.table(
                columns, ([row.get(name) for name in columns] for row in part)
            )
        else:
            self.printer.line(str(part))


def _is_table(part: Any) -> bool:
    return isinstance(part, list) and all(isinstance(row, dict) for row in part)
