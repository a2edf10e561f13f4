"""Conversion between Python enums and those of protobuf."""

from enum import Enum
from typing import Any, Generic, TypeVar

_Member = TypeVar('_Member', bound=Enum)


class EnumCodec(Generic[_Member]):
    """Pairs members by name: `JobState.HELD` is `JOB_STATE_HELD` on the wire."""

    def __init__(self, kind: type[_Member], wire_kind: Any, prefix: str) -> None:
        self._kind = kind
        self._wire_kind = wire_kind
        self._prefix = prefix

    def encode(self, member: _Member) -> int:
        """Returns the number on the wire."""
        return int(self._wire_kind.Value(self._prefix + member.name))

    def decode(self, number: int) -> _Member:
        """Returns the member.

        Raises:
            ValueError: The number has no member in this version.
        """
        name = str(self._wire_kind.Name(number)).removeprefix(self._prefix)
        if name not in self._kind.__members__:
            raise ValueError(f'{self._kind.__name__} {name} is not valid here')
        return self._kind[name]
