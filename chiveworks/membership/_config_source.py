"""Reads the configuration from the platform's store."""

from datetime import timedelta

from result import Err, Ok, Result

from chiveworks.base import Clock, Failure, Step
from chiveworks.catalogue import ConfigItem
from chiveworks.membership._config_push import ConfigPush
from chiveworks.membership._config_sync import ConfigSync
from chiveworks.membership._with_timeout import with_timeout
from chiveworks.store import Store, StoreEntry, WatchEvent

PREFIX = 'config/'
_WATCH_WAIT = timedelta(seconds=1)
#: A watch without a response after this time is on a dead connection.
_WATCH_TIMEOUT = timedelta(seconds=2)
_LIST_TIMEOUT = timedelta(seconds=5)


class ConfigSource:
    """Updates the replica from the store."""

    def __init__(self, store: Store, sync: ConfigSync, clock: Clock) -> None:
        self._store = store
        self._sync = sync
        self._clock = clock

    async def read(self) -> Result[ConfigPush, Failure]:
        """Waits up to 1 s for changes, or lists all keys if no watch is possible.

        Returns:
            The push for the peers, without items if nothing has changed.
        """
        try:
            return await self._read()
        except TimeoutError:
            message = 'the store did not respond in time'
            return Err(Failure.not_run(Step.STORE_READ, PREFIX, message))

    async def _read(self) -> Result[ConfigPush, Failure]:
        if not self._sync.has_full_listing:
            return await self._list()
        after = self._sync.revision
        watch = self._store.watch(PREFIX, after, _WATCH_WAIT)
        outcome = await with_timeout(self._clock, _WATCH_TIMEOUT, watch)
        if outcome.is_err():
            return Err(outcome.unwrap_err())
        batch = outcome.unwrap()
        if batch.compacted:
            return await self._list()
        # Superseded items are kept: the push is split by revision, and a receiver of
        # only the first part would otherwise miss a change below its revision.
        items = tuple(map(_item_of_event, batch.events))
        self._sync.apply_changes(items, after, batch.revision)
        return Ok(ConfigPush(items, after, batch.revision))

    async def _list(self) -> Result[ConfigPush, Failure]:
        listing = self._store.list_prefix(PREFIX)
        outcome = await with_timeout(self._clock, _LIST_TIMEOUT, listing)
        if outcome.is_err():
            return Err(outcome.unwrap_err())
        read = outcome.unwrap()
        items = tuple(map(_item_of_entry, read.entries))
        newer = self._sync.apply_listing(items, read.revision)
        # The listing omits some changes since the previous revision, so the push
        # covers an empty range: peers apply the items but keep their revision.
        return Ok(ConfigPush(newer, read.revision, read.revision))


def _item_of_event(event: WatchEvent) -> ConfigItem:
    return ConfigItem(event.key, event.value, event.mod_revision, event.deleted)


def _item_of_entry(entry: StoreEntry) -> ConfigItem:
    return ConfigItem(entry.key, entry.value, entry.mod_revision)
