"""An error in a file written by an operator."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FileProblem:
    """Position and description of an error in a file.

    Attributes:
        path: Path of the file.
        line: Line, from 1; 0 if the problem concerns the whole file.
        column: Column, from 1; 0 if only the line is given.
        field: Path of the field, such as `limits.body_bytes`; may be empty.
        message: What was expected and what was found.
    """

    path: str
    line: int
    column: int
    field: str
    message: str

    def __str__(self) -> str:
        """Formats the problem as one line, in the style of compiler messages."""
        numbers = [str(number) for number in (self.line, self.column) if number]
        location = ':'.join([self.path, *numbers])
        return ': '.join(part for part in (location, self.field, self.message) if part)
