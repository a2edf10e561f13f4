"""Registry of the shard handlers of this process."""

from chiveworks.base import ZoneName
from chiveworks.membership._shard_handler import ShardHandler


class LocalShard:
    """Holds the handlers of the shards that this process owns.

    Normally this is at most the shard of its own zone. While a zone is out of
    service and has no process left, a process in another zone may own its shard.
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
        """Routes further calls to `handler`."""
        self._handler = handler

    def withdraw(self) -> None:
        """Removes the handler; further calls fail with `not_owner`."""
        self._handler = None

    def handler_of(self, zone: ZoneName) -> ShardHandler | None:
        """Returns the handler of `zone`, or None if this process does not own it."""
        if zone == self._zone:
            return self._handler
        other = self._others.get(zone)
        return other.handler_of(zone) if other else None

    def of_zone(self, zone: ZoneName) -> 'LocalShard':
        """Returns the `LocalShard` of another zone and creates it if needed."""
        return self._others.setdefault(zone, LocalShard(zone))
