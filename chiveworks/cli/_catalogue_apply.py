"""Command that writes a catalogue entry."""

from typing import Any, ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from chiveworks.cli._entry_file import read_entry_file
from chiveworks.cli._exit_code import ExitCode
from chiveworks.cli._server_client import ServerClient
from chiveworks.cli._server_command import AUTHOR_OPTION, SERVER_OPTIONS, ServerCommand
from chiveworks.cli._usage_error import UsageError


class CatalogueApply(ServerCommand):
    """Creates or replaces an entry, unless it was changed concurrently."""

    name = 'catalogue apply'
    description = 'Creates or replaces an entry from a YAML file.'
    arguments: ClassVar[list[Argument]] = [argument('file', 'YAML file.')]
    options: ClassVar[list[Option]] = [
        *SERVER_OPTIONS,
        AUTHOR_OPTION,
        option(
            'expected',
            'e',
            'Revision the change is based on; the current one by default.',
            flag=False,
        ),
    ]

    async def run_with_client(self, client: ServerClient) -> ExitCode:
        """Reads the revision and writes the entry by compare-and-swap."""
        entry = read_entry_file(self.argument('file'))
        document = entry.model_dump(mode='json')
        expected = _revision(self.option('expected'))
        if expected is None:
            current = await client.get('catalogue', entry.name)
            if current.exit_code not in {ExitCode.OK, ExitCode.NOT_FOUND}:
                return self.finish(current, self.printer.fields)
            expected = int(current.body.get('revision', 0))
            if current.body.get('entry') == document:
                return self.finish(current, self._show_unchanged)
        reply = await client.change(
            'PUT',
            'catalogue',
            entry.name,
            query={'expected': expected, 'author': self.author()},
            body=document,
        )
        code = self.finish(reply, self._show_applied)
        if code is ExitCode.CONFLICT and not self.printer.as_json:
            self.printer.diff(reply.body.get('diff', ()))
        return code

    def _show_applied(self, body: dict[str, Any]) -> None:
        self.printer.line(f'applied at revision {body.get("revision")}')

    def _show_unchanged(self, body: dict[str, Any]) -> None:
        self.printer.line(f'unchanged, in force since revision {body.get("revision")}')


def _revision(text: str | None) -> int | None:
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and len(text) < 19):
        raise UsageError(f'--expected must be a revision, got {text}')
    return int(text)
