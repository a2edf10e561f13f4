"""Checks of the types and ranges of fields in stored records."""

from collections.abc import Sequence
from typing import Any, Final

#: Stored whole numbers are below this one, so that their sums and products can be
#: encoded.
_NUMBER_LIMIT: Final = 2**53
INTEGER: Final = (int,)
REAL: Final = (int, float)
TEXT: Final = (str,)
FLAG: Final = (bool,)
LIST: Final = (list,)


def check_whole(name: str, number: object, limit: int = _NUMBER_LIMIT) -> int:
    """Returns a whole number from 0 and below `limit`.

    Raises:
        ValueError: It is not one.
    """
    if not _has_type(number, INTEGER) or not 0 <= number < limit:  # type: ignore
        raise ValueError(f'{name} is not a whole number from 0 and below {limit}')
    return number  # type: ignore[return-value]


def check_row(name: str, row: object, types: Sequence[tuple[type, ...]]) -> list[Any]:
    """Returns a row whose first fields have the given types.

    Raises:
        ValueError: It is not one, or a whole number in it is negative or too large.
    """
    if not isinstance(row, list) or len(row) < len(types):
        raise ValueError(f'{name} is not a row of {len(types)} fields')
    for position, allowed in enumerate(types):
        if not _has_type(row[position], allowed):
            raise ValueError(f'field {position} of {name} has another type')
        if allowed is INTEGER:
            check_whole(f'field {position} of {name}', row[position])
    return row


def _has_type(field: object, allowed: tuple[type, ...]) -> bool:
    # A bool is an int too.
    return isinstance(field, allowed) and (
        allowed is FLAG or not isinstance(field, bool)
    )
