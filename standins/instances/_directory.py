"""Instance list whose changes become visible after a lag."""

from datetime import timedelta

from chiveworks.base import Clock

#: Interval at which a waiting poll checks for changes that have become visible.
_POLL_INTERVAL = timedelta(milliseconds=20)

InstanceFields = dict[str, object]


class InstanceDirectory:
    """Instances as JSON objects, by id.

    Attributes:
        lag: Time until a change becomes visible in the list.
    """

    def __init__(self, clock: Clock, lag: timedelta) -> None:
        self.lag = lag
        self._clock = clock
        self._latest: dict[str, InstanceFields] = {}
        self._visible: dict[str, InstanceFields] = {}
        self._pending: list[tuple[timedelta, str, InstanceFields]] = []
        self._revision = 0

    def put(self, instance_id: str, fields: InstanceFields) -> None:
        """Adds or replaces an instance."""
        listed = {**fields, 'id': instance_id}
        self._latest[instance_id] = listed
        self._pending.append((self._clock.monotonic() + self.lag, instance_id, listed))

    def set_state(self, instance_id: str, state: str) -> bool:
        """Changes the state of an instance; False when the instance is unknown."""
        if instance_id not in self._latest:
            return False
        self.put(instance_id, {**self._latest[instance_id], 'state': state})
        return True

    def visible(self) -> tuple[int, list[InstanceFields]]:
        """Returns the revision of the list and the visible instances."""
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

    async def wait_for_change(self, revision: int, wait: timedelta) -> bool:
        """Waits up to `wait` for a revision other than `revision`; False if none came."""
        end = self._clock.monotonic() + wait
        while self.visible()[0] == revision:
            if self._clock.monotonic() >= end:
                return False
            await self._clock.sleep(_POLL_INTERVAL)
        return True
