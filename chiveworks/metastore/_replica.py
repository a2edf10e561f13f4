"""A copy of the keys below a prefix that follows the store."""

import random
from collections.abc import Callable
from datetime import timedelta
from typing import Final, Generic, TypeVar

from result import Err

from chiveworks.base import Clock, Revision
from chiveworks.metastore._metadata_store import MetadataStore, StoreItem
from chiveworks.events import EventLog

#: Longest wait of one watch; a silent connection is noticed soon after.
WATCH_WAIT: Final = timedelta(milliseconds=1500)
#: Pause after a failed call, drawn from half to one and a half of it.
RETRY_PAUSE: Final = timedelta(milliseconds=120)

NO_GAP: Final = timedelta()

_Entry = TypeVar('_Entry')


class Replica(Generic[_Entry]):
    """Follows a prefix by listing it once and watching it from there.

    Args:
        store: Where the keys are.
        prefix: Start of all keys that are followed.
        decode: Returns the entry of a key and its content; None to skip it.
        clock: Source of time.
        log: Where lost and regained contact is written.
        wait: Longest wait of one watch.
        gap: Pause after changes, so that those which follow share a call.

    Attributes:
        entries: Decoded entries by the rest of the key.
        synced: Whether the prefix has been read completely at least once.
        fresh_at: When the store answered last.
    """

    def __init__(
        self,
        store: MetadataStore,
        prefix: str,
        decode: Callable[[str, bytes], _Entry | None],
        clock: Clock,
        log: EventLog,
        wait: timedelta = WATCH_WAIT,
        gap: timedelta = NO_GAP,
    ) -> None:
        self.entries: dict[str, _Entry] = {}
        self.synced = False
        self.fresh_at = timedelta()
        self._store = store
        self._prefix = prefix
        self._decode = decode
        self._clock = clock
        self._log = log
        self._wait = wait
        self._gap = gap
        self._revisions: dict[str, Revision] = {}
        self._after: Revision | None = None
        self._listeners: list[Callable[[str, _Entry | None], None]] = []
        self._failing = False

    def subscribe(self, listener: Callable[[str, _Entry | None], None]) -> None:
        """Calls `listener` with each change; the entry is None when it is gone."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Follows the prefix until cancelled."""
        while True:
            if not await self.step():
                await self._clock.sleep(RETRY_PAUSE * random.uniform(0.5, 1.5))
            elif self._gap:
                await self._clock.sleep(self._gap)

    async def step(self) -> bool:
        """Makes one call, a listing or a watch; tells whether it succeeded."""
        succeeded = await (self._list() if self._after is None else self._watch())
        if succeeded:
            self.fresh_at = self._clock.monotonic()
        if succeeded is self._failing:
            self._failing = not succeeded
            event = 'replica_regained' if succeeded else 'replica_lost'
            self._log.write(event, prefix=self._prefix, revision=self._after)
        return succeeded

    async def _list(self) -> bool:
        answer = await self._store.read_all(self._prefix)
        if isinstance(answer, Err):
            return False
        listing = answer.ok_value
        present = {item.key for item in listing.items}
        for key in self._revisions.keys() - present:
            self._apply(StoreItem(key, listing.revision, None))
        for item in listing.items:
            self._apply(item)
        self._after = listing.revision
        self.synced = True
        return True

    async def _watch(self) -> bool:
        after = self._after or Revision(0)
        # After a failure the answer shows that the store is back: it may not wait.
        wait = timedelta() if self._failing else self._wait
        answer = await self._store.watch(self._prefix, after, wait)
        if isinstance(answer, Err):
            return False
        batch = answer.ok_value
        if batch.compacted:
            self._after = None
            return True
        for item in batch.items:
            self._apply(item)
        self._after = max(batch.revision, after)
        return True

    def _apply(self, item: StoreItem) -> None:
        if item.revision < self._revisions.get(item.key, 0):
            return
        name = item.key[len(self._prefix) :]
        if item.content is None:
            self._revisions.pop(item.key, None)
            if self.entries.pop(name, None) is not None:
                self._notify(name, None)
            return
        if self._revisions.get(item.key) == item.revision:
            return
        self._revisions[item.key] = item.revision
        entry = self._decode(name, item.content)
        if entry is None:
            self._log.write('entry_skipped', key=item.key, reason='cannot be decoded')
            return
        self.entries[name] = entry
        self._notify(name, entry)

    def _notify(self, name: str, entry: _Entry | None) -> None:
        for listener in self._listeners:
            listener(name, entry)
