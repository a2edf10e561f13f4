"""Reads data in JSON that other programs wrote, and checks types and ranges."""

import json
import math
from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import Any, Final

import orjson

#: Highest number in a field. As milliseconds it is 317 years, a few times of which are
#: within the range of `timedelta`.
MAX_NUMBER: Final = 10**13
#: Maximum length of a text in characters; the longest, a job's payload, has 4,000.
MAX_TEXT_LENGTH: Final = 4096
_MILLISECOND: Final = timedelta(milliseconds=1)


def parse_json(content: bytes | str) -> Any:
    """Decodes JSON of unknown origin.

    Raises:
        ValueError: The content is not JSON, or is nested too deeply.
    """
    try:
        return orjson.loads(content)
    except orjson.JSONDecodeError:
        # The standard library also reads NaN, and integers and texts of any kind, so
        # that the field with such a value can be named.
        return _parse_lenient_json(content)


def _parse_lenient_json(content: bytes | str) -> Any:
    try:
        return json.loads(content)
    except RecursionError:
        raise ValueError('the JSON is nested too deeply') from None
    except ValueError as error:
        raise ValueError(f'not JSON: {error}') from error


def check_text(name: str, text: object) -> str:
    """Returns a text that can be encoded as UTF-8.

    Raises:
        ValueError: It is not one, or is too long.
    """
    if not isinstance(text, str) or len(text) > MAX_TEXT_LENGTH:
        raise ValueError(f'{name} is not a text of up to {MAX_TEXT_LENGTH} characters')
    if not text.isascii():
        try:
            text.encode()
        except UnicodeEncodeError:
            raise ValueError(f'{name} contains a lone surrogate') from None
    return text


def check_number(name: str, number: object, *, highest: int = MAX_NUMBER) -> float:
    """Returns a finite number from 0.

    Raises:
        ValueError: It is not one, or is above `highest`.
    """
    is_number = isinstance(number, int | float) and not isinstance(number, bool)
    # The comparison is also false for NaN.
    if not (is_number and 0 <= number <= highest):  # type: ignore[operator]
        raise ValueError(f'{name} is not a number from 0 to {highest}')
    return number  # type: ignore[return-value]


def check_whole(name: str, number: object, *, highest: int = MAX_NUMBER) -> int:
    """Returns a number from 0 without its fraction.

    Raises:
        ValueError: It is not one, or is above `highest`.
    """
    return math.floor(check_number(name, number, highest=highest))


def check_list(name: str, rows: object, length: int = 0) -> Sequence[Any]:
    """Returns a list with at least a number of elements.

    Raises:
        ValueError: It is not one.
    """
    if not isinstance(rows, list) or len(rows) < length:
        raise ValueError(f'{name} is not a list of {length} or more elements')
    return rows


class Fields:
    """Reads the fields of an object; null counts as missing.

    Every method raises ValueError, with the name of the field, if the field is of
    another type or out of range, or if it is missing and has no default.

    Args:
        fields: The object.
    """

    def __init__(self, fields: object) -> None:
        if not isinstance(fields, Mapping):
            raise ValueError('not an object')
        self._fields = fields

    def get(self, name: str) -> Any:
        """Returns a field without a check; None if it is missing."""
        return self._fields.get(name)

    def text(self, name: str, default: str | None = None) -> str:
        """Returns a text."""
        return check_text(name, self._get(name, default))

    def number(
        self, name: str, default: float | None = None, *, highest: int = MAX_NUMBER
    ) -> float:
        """Returns a finite number that is not negative."""
        return check_number(name, self._get(name, default), highest=highest)

    def whole(
        self, name: str, default: int | None = None, *, highest: int = MAX_NUMBER
    ) -> int:
        """Returns a number that is not negative, without its fraction."""
        return check_whole(name, self._get(name, default), highest=highest)

    def flag(self, name: str) -> bool:
        """Returns a truth value; False if it is missing."""
        flag = self._get(name, False)
        if not isinstance(flag, bool):
            raise ValueError(f'{name} is neither true nor false')
        return flag

    def duration(self, name: str, default: timedelta | None = None) -> timedelta:
        """Returns a time that is given in milliseconds."""
        if default is not None and self.get(name) is None:
            return default
        return self.number(name) * _MILLISECOND

    def optional_duration(self, name: str) -> timedelta | None:
        """Returns a time that is given in milliseconds; None if it is missing."""
        return None if self.get(name) is None else self.duration(name)

    def rows(self, name: str) -> Sequence[Any]:
        """Returns a list; an empty one if it is missing."""
        return check_list(name, self._get(name, []))

    def required_rows(self, name: str) -> Sequence[Any]:
        """Returns a list that must not be missing."""
        return check_list(name, self.get(name))

    def nested(self, name: str) -> 'Fields':
        """Returns the fields of an object within this one."""
        nested = self.get(name)
        if not isinstance(nested, Mapping):
            raise ValueError(f'{name} is not an object')
        return Fields(nested)

    def _get(self, name: str, default: object) -> object:
        found = self._fields.get(name)
        return default if found is None else found
