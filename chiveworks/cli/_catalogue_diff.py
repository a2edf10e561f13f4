"""Command that compares a file with the catalogue."""

import dataclasses
from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from chiveworks.catalogue import CatalogueEntry, diff_documents
from chiveworks.cli._entry_file import read_entry_file
from chiveworks.cli._exit_code import ExitCode
from chiveworks.cli._server_client import ServerClient
from chiveworks.cli._server_command import ServerCommand


class CatalogueDiff(ServerCommand):
    """Shows what `catalogue apply` would change."""

    name = 'catalogue diff'
    description = 'Compares a YAML file with the current entry.'
    arguments: ClassVar[list[Argument]] = [argument('file', 'YAML file.')]

    async def run_with_client(self, client: ServerClient) -> ExitCode:
        """Compares field by field; the exit code is 0 with or without changes."""
        entry = read_entry_file(self.argument('file'))
        reply = await client.get('catalogue', entry.name)
        if reply.exit_code not in {ExitCode.OK, ExitCode.NOT_FOUND}:
            return self.finish(reply, self.printer.fields)
        stored = None
        if reply.failure is None:
            # Ignores fields that only a newer server knows.
            fields = {
                name: field
                for name, field in reply.body['entry'].items()
                if name in CatalogueEntry.model_fields
            }
            stored = CatalogueEntry.model_validate(fields, strict=False)
        changes = [
            dataclasses.asdict(change) for change in diff_documents(stored, entry)
        ]
        if self.printer.as_json:
            self.printer.json(changes)
        elif changes:
            self.printer.diff(changes)
        else:
            self.printer.line('no differences')
        return ExitCode.OK
