"""Command that shows the versions of an entry."""

import itertools
from collections.abc import Iterator
from typing import Any, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from chiveworks.cli._exit_code import ExitCode
from chiveworks.cli._server_client import ServerClient
from chiveworks.cli._server_command import ServerCommand


class CatalogueHistory(ServerCommand):
    """Shows the versions of an entry with author, time and changes, latest first."""

    name = 'catalogue history'
    description = 'Shows the last versions of an entry.'
    arguments: ClassVar[list[Argument]] = [argument('name', 'Name of the entry.')]

    async def run_with_client(self, client: ServerClient) -> ExitCode:
        """Reads the versions."""
        reply = await client.get('catalogue', self.argument('name'), 'history')
        return self.finish(reply, self._show)

    def _show(self, body: dict[str, Any]) -> None:
        self.printer.table(
            ('revision', 'at', 'author', 'change'), _rows(body.get('versions', []))
        )


def _rows(versions: list[dict[str, Any]]) -> Iterator[tuple[Any, ...]]:
    for version, earlier in itertools.zip_longest(versions, versions[1:]):
        yield (
            version.get('revision'),
            version.get('at'),
            version.get('author'),
            _describe(version.get('entry'), earlier and earlier.get('entry')),
        )


def _describe(entry: dict[str, Any] | None, earlier: dict[str, Any] | None) -> str:
    if entry is None:
        return 'deleted'
    if earlier is None:
        return 'created, or earlier versions not kept'
    changes = (
        f'{field}: {earlier.get(field)} -> {after}'
        for field, after in entry.items()
        if earlier.get(field) != after
    )
    return ', '.join(changes) or 'no change'
