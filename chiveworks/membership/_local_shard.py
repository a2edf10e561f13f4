"""The shard that this process may own."""

from chiveworks.base import ZoneName
from chiveworks.membership._shard_handler import ShardHandler


class LocalShard:
    """Holds the handler of the own zone's shard while this process owns it."""

    def __init__(self, zone: ZoneName) -> None:
        self._zone = zone
        self._handler: ShardHandler | None = None

    @property
    def is_owned(self) -> bool:
        """Whether this process owns the shard of its zone."""
        return self._handler is not None

    def serve(self, handler: ShardHandler) -> None:
        """Hands calls to `handler` from now on."""
        self._handler = handler

    def withdraw(self) -> None:
        """Answers further calls with `not_owner`."""
        self._handler = None

    def handler_of(self, zone: ZoneName) -> ShardHandler | None:
        """Returns the handler if this process owns the shard of `zone`."""
        return self._handler if zone == self._zone else None
