"""The instance list, whose changes become visible after a lag."""

from datetime import timedelta

from chiveworks.base import Clock

#: How often a waiting poll looks for changes that have become visible.
_POLL_STEP = timedelta(milliseconds=20)

Listed = dict[str, object]


class InstanceDirectory:
    """Instances as JSON objects by id.

    Attributes:
        lag: Time from a change to its appearance in the list.
    """

    def __init__(self, clock: Clock, lag: timedelta) -> None:
        self.lag = lag
        self._clock = clock
        self._latest: dict[str, Listed] = {}
        self._visible: dict[str, Listed] = {}
        self._pending: list[tuple[timedelta, str, Listed]] = []
        self._revision = 0

    def put(self, instance_id: str, fields: Listed) -> None:
        """Adds or replaces an instance."""
        listed = {**fields, 'id': instance_id}
        self._latest[instance_id] = listed
        self._pending.append((self._clock.monotonic() + self.lag, instance_id, listed))

    def set_state(self, instance_id: str, state: str) -> bool:
        """Changes an instance's state; False when it is unknown."""
        if instance_id not in self._latest:
            return False
        self.put(instance_id, {**self._latest[instance_id], 'state': state})
        return True

    def visible(self) -> tuple[int, list[Listed]]:
        """Returns the list's revision and the listed instances."""
        now = self._clock.monotonic()
        waiting = []
        for due, instance_id, listed in self._pending:
            if due > now:
                waiting.append((due, instance_id, listed))
            elif self._visible.get(instance_id) != listed:
                self._visible[instance_id] = listed
                self._revision += 1
        self._pending = waiting
        return self._revision, list(self._visible.values())

    async def wait_past(self, revision: int, wait: timedelta) -> bool:
        """Waits until the list has another revision; False when it has not."""
        end = self._clock.monotonic() + wait
        while self.visible()[0] == revision:
            if self._clock.monotonic() >= end:
                return False
            await self._clock.sleep(_POLL_STEP)
        return True
