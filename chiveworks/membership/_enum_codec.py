"""Conversion between Python and protobuf enums."""

from enum import Enum
from typing import Any, Generic, TypeVar

_Member = TypeVar('_Member', bound=Enum)


class EnumCodec(Generic[_Member]):
    """Maps members by name, for example `JobState.HELD` to `JOB_STATE_HELD`."""

    def __init__(self, kind: type[_Member], wire_kind: Any, prefix: str) -> None:
        self._kind = kind
        self._wire_kind = wire_kind
        self._prefix = prefix

    def encode(self, member: _Member) -> int:
        """Returns the protobuf number of a member."""
        return int(self._wire_kind.Value(self._prefix + member.name))

    def decode(self, number: int) -> _Member:
        """Returns the member for a protobuf number.

        Raises:
            ValueError: The number is unknown to this version or has no member.
        """
        name = str(self._wire_kind.Name(number)).removeprefix(self._prefix)
        if name not in self._kind.__members__:
            raise ValueError(f'{self._kind.__name__} has no member {name}')
        return self._kind[name]
