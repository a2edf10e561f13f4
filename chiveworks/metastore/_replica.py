"""Local replica of the keys under a prefix of the metadata store."""

import random
from collections.abc import Callable
from datetime import timedelta
from typing import Final, Generic, TypeVar

from result import Err

from chiveworks.base import Clock, Revision
from chiveworks.events import EventLog
from chiveworks.metastore._metadata_store import MetadataStore, StoreItem

#: Maximum wait of one watch; bounds the time until a dead connection is detected.
WATCH_WAIT: Final = timedelta(milliseconds=1500)
#: Mean pause after a failed call; the actual pause is 0.5 to 1.5 times as long.
RETRY_PAUSE: Final = timedelta(milliseconds=120)
#: Time after which the application of a listing lets other tasks run.
LISTING_SLICE: Final = timedelta(milliseconds=20)

NO_PAUSE: Final = timedelta()

_Entry = TypeVar('_Entry')


class Replica(Generic[_Entry]):
    """Keeps a copy of all keys under a prefix by listing and then watching it.

    Args:
        store: Metadata store to read.
        prefix: Prefix of the keys.
        decode: Decodes the content of a key, given the key without the prefix; raises
            ValueError with a reason if it cannot. The key then counts as removed.
        clock: Source of time.
        log: Log for the loss and recovery of contact, and for skipped entries.
        wait: Maximum wait of one watch.
        watch_pause: Pause after each watch, so that one watch returns several changes.

    Attributes:
        entries: Decoded entries, by key without the prefix.
        synced: Whether the prefix has been listed completely at least once.
        last_success_at: When a call to the store last succeeded.
        confirmed_at: Time up to which all changes are certainly applied: when the last
            successful listing or watch was sent. None before the first one.
        wait: Maximum wait of one watch.
    """

    def __init__(
        self,
        store: MetadataStore,
        prefix: str,
        decode: Callable[[str, bytes], _Entry],
        clock: Clock,
        log: EventLog,
        wait: timedelta = WATCH_WAIT,
        watch_pause: timedelta = NO_PAUSE,
    ) -> None:
        self.entries: dict[str, _Entry] = {}
        self.synced = False
        self.last_success_at = timedelta()
        self.confirmed_at: timedelta | None = None
        self.wait = wait
        self._store = store
        self._prefix = prefix
        self._decode = decode
        self._clock = clock
        self._log = log
        self._watch_pause = watch_pause
        self._revisions: dict[str, Revision] = {}
        self._after: Revision | None = None
        self._listeners: list[Callable[[str, _Entry | None], None]] = []
        self._skip_reasons: dict[str, str] = {}
        self._failed: set[str] = set()
        self._failure = ''

    def subscribe(self, listener: Callable[[str, _Entry | None], None]) -> None:
        """Calls `listener` on each change; the entry is None if it was removed.

        If it raises an error, it is called again with the entry before the next call
        to the store.
        """
        self._listeners.append(listener)

    def revision(self, name: str) -> Revision | None:
        """Returns the revision of an entry; None if there is none."""
        return self._revisions.get(self._prefix + name)

    async def run(self) -> None:
        """Follows the changes under the prefix until cancelled."""
        while True:
            if not await self.step():
                await self._clock.sleep(RETRY_PAUSE * random.uniform(0.5, 1.5))
            elif self._watch_pause:
                await self._clock.sleep(self._watch_pause)

    async def step(self) -> bool:
        """Lists the prefix or watches it once; returns whether the call succeeded."""
        self._retry_failed()
        earlier_failure = self._failure
        sent_at = self._clock.monotonic()
        self._failure = await (self._list() if self._after is None else self._watch())
        place = {'prefix': self._prefix, 'revision': self._after}
        if not self._failure:
            self.last_success_at = self._clock.monotonic()
            # A compacted history omits changes, and a listener that raised an error has
            # not applied its entry.
            if self._after is not None and not self._failed:
                self.confirmed_at = sent_at
            if earlier_failure:
                self._log.write('replica_regained', **place)
        elif not earlier_failure:
            self._log.write('replica_lost', reason=self._failure, **place)
        return not self._failure

    async def _list(self) -> str:
        """Lists the prefix; returns why that failed, or an empty string."""
        result = await self._store.read_all(self._prefix)
        if isinstance(result, Err):
            return str(result.err_value)
        listing = result.ok_value
        present = {item.key for item in listing.items}
        for key in self._revisions.keys() - present:
            self._apply(StoreItem(key, listing.revision, None))
        slice_end = self._clock.monotonic() + LISTING_SLICE
        for item in listing.items:
            self._apply(item)
            if self._clock.monotonic() >= slice_end:
                await self._clock.sleep(NO_PAUSE)
                slice_end = self._clock.monotonic() + LISTING_SLICE
        self._after = listing.revision
        self.synced = True
        return ''

    async def _watch(self) -> str:
        """Waits for changes once; returns why that failed, or an empty string."""
        after = self._after or Revision(0)
        # After a failure, an immediate response shows that the store has recovered.
        wait = timedelta() if self._failure else self.wait
        result = await self._store.watch(self._prefix, after, wait)
        if isinstance(result, Err):
            return str(result.err_value)
        batch = result.ok_value
        if batch.compacted:
            self._after = None
            return ''
        for item in batch.items:
            self._apply(item)
        self._after = max(batch.revision, after)
        return ''

    def _apply(self, item: StoreItem) -> None:
        if item.revision < self._revisions.get(item.key, 0):
            return
        name = item.key[len(self._prefix) :]
        if item.content is None:
            self._revisions.pop(item.key, None)
            self._skip_reasons.pop(item.key, None)
            self._remove(name)
            return
        if self._revisions.get(item.key) == item.revision:
            return
        self._revisions[item.key] = item.revision
        try:
            entry = self._decode(name, item.content)
        except ValueError as error:
            self._skip(item.key, str(error))
            # The entry that this one replaced no longer holds.
            self._remove(name)
            return
        self._skip_reasons.pop(item.key, None)
        self.entries[name] = entry
        self._notify(name, entry)

    def _skip(self, key: str, reason: str) -> None:
        # The writer may repeat an odd entry with every heartbeat.
        if self._skip_reasons.get(key) != reason:
            self._skip_reasons[key] = reason
            self._log.write('entry_skipped', key=key, reason=reason)

    def _remove(self, name: str) -> None:
        if self.entries.pop(name, None) is not None:
            self._notify(name, None)

    def _notify(self, name: str, entry: _Entry | None) -> None:
        for listener in self._listeners:
            try:
                listener(name, entry)
            except Exception as error:
                # The other entries still hold; this one is offered again.
                self._failed.add(name)
                self._log.write(
                    'entry_failed', key=self._prefix + name, error=repr(error)
                )

    def _retry_failed(self) -> None:
        """Offers the entries again whose listeners raised an error."""
        failed = self._failed
        self._failed = set()
        for name in failed:
            self._notify(name, self.entries.get(name))
