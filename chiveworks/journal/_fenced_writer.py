"""Writes keys so that a former owner's write never replaces a later one's."""

from collections.abc import Callable
from datetime import timedelta

from numpy.random import Generator
from result import Err, Ok, Result

from chiveworks.base import Clock, Epoch, Failure, Revision
from chiveworks.journal._journal_ownership_lost import JournalOwnershipLost
from chiveworks.store import Store, StoreConflict, StoreEntry

_FIRST_RETRY = timedelta(milliseconds=100)
_LONGEST_RETRY = timedelta(seconds=3)
_NO_EPOCH = Epoch(0)


class FencedWriter:
    """Writes single keys by compare-and-swap and settles lost answers.

    A write is repeated until the store has answered. While the store is away
    this waits, so that a caller that got an answer knows the value is durable.
    """

    def __init__(self, store: Store, clock: Clock, random: Generator) -> None:
        self._store = store
        self._clock = clock
        self._random = random
        self._revisions: dict[str, Revision] = {}

    def remember(self, key: str, revision: Revision) -> None:
        """Notes the revision at which this owner read `key`."""
        self._revisions[key] = revision

    def known_revision(self, key: str) -> Revision:
        """Returns the last known revision of `key`, 0 when it is absent."""
        return self._revisions.get(key, Revision(0))

    async def write(
        self,
        key: str,
        stored: bytes,
        epoch_of: Callable[[bytes], Epoch],
        replace_below: Epoch = _NO_EPOCH,
    ) -> Result[Revision, JournalOwnershipLost]:
        """Writes `key` over the value this owner last knew.

        Args:
            key: Key to write.
            stored: New value; it must be unique to this write.
            epoch_of: Reads the writer's epoch from a stored value.
            replace_below: A value of an epoch below this one is overwritten
                although it is not the one this owner last knew.

        Returns:
            The key's new revision, or the epoch that was found in its place.
        """
        retry = _FIRST_RETRY
        while True:
            outcome = await self._store.compare_and_swap(
                key, stored, self.known_revision(key)
            )
            if isinstance(outcome, Ok):
                self._revisions[key] = outcome.ok_value
                return outcome
            settled = await self._settle(key, stored, outcome.err_value)
            if isinstance(settled, Ok):
                return settled
            if isinstance(settled, Err):
                found = settled.err_value
                found_epoch = epoch_of(found.value) if found else Epoch(0)
                if found_epoch >= replace_below:
                    return Err(JournalOwnershipLost(found_epoch))
                self.remember(key, found.mod_revision if found else Revision(0))
            await self._clock.sleep(retry * float(self._random.uniform(0.5, 1)))
            retry = min(retry * 2, _LONGEST_RETRY)

    async def _settle(
        self, key: str, stored: bytes, error: Failure | StoreConflict
    ) -> Result[Revision, StoreEntry | None] | None:
        """Reads the key back after a failed write.

        Returns:
            The revision if the write took effect, the entry found in its place,
            or None when the same write is to be repeated.
        """
        read = await self._store.fetch(key)
        if isinstance(read, Err):
            return None
        found = read.ok_value.first()
        if found is not None and found.value == stored:
            self.remember(key, found.mod_revision)
            return Ok(found.mod_revision)
        revision = found.mod_revision if found else Revision(0)
        if isinstance(error, Failure) and revision == self.known_revision(key):
            # The lost write had no effect so far. If it still arrives, it
            # carries the same value and only one of both can succeed.
            return None
        return Err(found)
