"""Key writes that cannot replace a newer owner's value."""

from collections.abc import Callable
from datetime import timedelta

from numpy.random import Generator
from result import Err, Ok, Result

from chiveworks.base import Clock, Epoch, Failure, Revision
from chiveworks.journal._journal_ownership_lost import JournalOwnershipLost
from chiveworks.store import Store, StoreConflict, StoreEntry

_INITIAL_RETRY_DELAY = timedelta(milliseconds=100)
_MAX_RETRY_DELAY = timedelta(seconds=3)
_NO_EPOCH = Epoch(0)


class FencedWriter:
    """Writes single keys by compare-and-swap and resolves lost responses.

    A write is retried until its outcome is known, also while the store is
    unavailable. When `write` returns a revision, the value is durable.
    """

    def __init__(self, store: Store, clock: Clock, random: Generator) -> None:
        self._store = store
        self._clock = clock
        self._random = random
        self._revisions: dict[str, Revision] = {}

    def set_known_revision(self, key: str, revision: Revision) -> None:
        """Records the revision at which this owner read `key`."""
        self._revisions[key] = revision

    def known_revision(self, key: str) -> Revision:
        """Returns the last known revision of `key`; 0 when it is absent."""
        return self._revisions.get(key, Revision(0))

    async def write(
        self,
        key: str,
        stored: bytes,
        epoch_of: Callable[[bytes], Epoch],
        replace_below: Epoch = _NO_EPOCH,
    ) -> Result[Revision, JournalOwnershipLost]:
        """Replaces the last known value of `key`.

        Args:
            key: Key to write.
            stored: New value; must differ from the value of any other write.
            epoch_of: Extracts the writer's epoch from a stored value.
            replace_below: A value whose epoch is below this one is overwritten
                even if it is not the last known value.

        Returns:
            The key's new revision, or the epoch of another owner's value that was
            found instead.
        """
        retry_delay = _INITIAL_RETRY_DELAY
        while True:
            outcome = await self._store.compare_and_swap(
                key, stored, self.known_revision(key)
            )
            if isinstance(outcome, Ok):
                self._revisions[key] = outcome.ok_value
                return outcome
            resolved = await self._resolve_outcome(key, stored, outcome.err_value)
            if isinstance(resolved, Ok):
                return resolved
            if isinstance(resolved, Err):
                found = resolved.err_value
                found_epoch = epoch_of(found.value) if found else Epoch(0)
                if found_epoch >= replace_below:
                    return Err(JournalOwnershipLost(found_epoch))
                self.set_known_revision(
                    key, found.mod_revision if found else Revision(0)
                )
            await self._clock.sleep(retry_delay * float(self._random.uniform(0.5, 1)))
            retry_delay = min(retry_delay * 2, _MAX_RETRY_DELAY)

    async def _resolve_outcome(
        self, key: str, stored: bytes, error: Failure | StoreConflict
    ) -> Result[Revision, StoreEntry | None] | None:
        """Determines the outcome of a failed write by reading the key back.

        Returns:
            The revision if the write took effect, the entry found instead, or None
            when the same write is to be retried.
        """
        read = await self._store.fetch(key)
        if isinstance(read, Err):
            return None
        found = read.ok_value.first()
        if found is not None and found.value == stored:
            self.set_known_revision(key, found.mod_revision)
            return Ok(found.mod_revision)
        revision = found.mod_revision if found else Revision(0)
        if isinstance(error, Failure) and revision == self.known_revision(key):
            # The write has had no effect yet. If it still reaches the store after
            # the retry, only one of the two can succeed, and both carry the
            # same value.
            return None
        return Err(found)
