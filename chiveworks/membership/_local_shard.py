"""The shard that this process may own."""

from chiveworks.base import ZoneName
from chiveworks.membership._shard_handler import ShardHandler


class LocalShard:
    """Holds the handlers of the shards that this process owns.

    Normally that is at most the shard of its own zone. While a zone is out of
    service and has no process left, one of another zone may own its shard.
    """

    def __init__(self, zone: ZoneName) -> None:
        self._zone = zone
        self._handler: ShardHandler | None = None
        self._others: dict[ZoneName, LocalShard] = {}

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
        if zone == self._zone:
            return self._handler
        other = self._others.get(zone)
        return other.handler_of(zone) if other else None

    def of_zone(self, zone: ZoneName) -> 'LocalShard':
        """Returns the holder of another zone's handler."""
        return self._others.setdefault(zone, LocalShard(zone))
