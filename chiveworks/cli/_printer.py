"""Formatted output of the commands."""

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from cleo.formatters.formatter import Formatter
from cleo.io.io import IO
from cleo.io.outputs.output import Type
from cleo.ui.table import Table

from chiveworks.base import Failure


class Printer:
    """Writes tables, JSON and errors; markup in the data is never interpreted."""

    def __init__(self, io: IO, *, as_json: bool = False) -> None:
        self._io = io
        self.as_json = as_json

    def line(self, text: str) -> None:
        """Writes a line of text."""
        self._io.write_line(_printable(text), type=Type.RAW)

    def json(self, content: Any) -> None:
        """Writes JSON."""
        text = json.dumps(content, indent=2, ensure_ascii=False)
        self._io.write_line(text, type=Type.RAW)

    def table(self, columns: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
        """Writes a table, or a message if it has no rows."""
        cells: Any = [[Formatter.escape(_cell(field)) for field in row] for row in rows]
        if not cells:
            self.line('nothing to show')
            return
        Table(self._io, style='compact').set_headers(list(columns)).set_rows(
            cells
        ).render()

    def fields(self, document: Mapping[str, Any]) -> None:
        """Writes a document as a table of its fields."""
        self.table(('field', 'value'), document.items())

    def diff(self, changes: Iterable[Mapping[str, Any]]) -> None:
        """Writes a diff as a table of the fields that differ."""
        self.table(
            ('field', 'stored', 'proposed'),
            (
                (change.get('field'), change.get('stored'), change.get('proposed'))
                for change in changes
            ),
        )

    def failure(self, failure: Failure) -> None:
        """Writes a failure and its next step, if any, to the error stream."""
        self.error(str(failure))
        if failure.next_step:
            self.next_step(failure.next_step)

    def next_step(self, text: str) -> None:
        """Writes the recommended next step to the error stream."""
        self._error_line(f'next step: {text}')

    def error(self, text: str) -> None:
        """Writes an error message to the error stream."""
        self._error_line(f'error: {text}')

    def _error_line(self, text: str) -> None:
        self._io.write_error_line(_printable(text), type=Type.RAW)


def _cell(field: Any) -> str:
    if field is None:
        return '-'
    if isinstance(field, bool):
        return 'yes' if field else 'no'
    if isinstance(field, (dict, list)):
        return _printable(json.dumps(field, ensure_ascii=False))
    return _printable(str(field))


def _printable(text: str) -> str:
    """Replaces control characters, which could alter the terminal state."""
    return ''.join(char if char.isprintable() else ' ' for char in text)
