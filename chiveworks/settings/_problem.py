"""A mistake in a file written by an operator."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FileProblem:
    """Where a file is wrong and what was expected there.

    Attributes:
        path: The file.
        line: Line from 1; 0 when the file as a whole is meant.
        column: Column from 1; 0 when the line is enough.
        field: Path of the field, such as `limits.body_bytes`; may be empty.
        message: What was expected and what was found.
    """

    path: str
    line: int
    column: int
    field: str
    message: str

    def __str__(self) -> str:
        """Formats the problem as one line, like a compiler's message."""
        numbers = [str(number) for number in (self.line, self.column) if number]
        place = ':'.join([self.path, *numbers])
        return ': '.join(part for part in (place, self.field, self.message) if part)
