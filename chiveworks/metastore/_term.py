"""A leadership term with its fencing token, store lease and ordered writes."""

import asyncio
import itertools
from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import Final

from result import Err

from chiveworks.base import Clock, Epoch, Revision, StoreLeaseId
from chiveworks.events import EventLog
from chiveworks.metastore._keys import LEADER_KEY, SEQUENCE_KEY
from chiveworks.metastore._last_writer import LastWriter
from chiveworks.metastore._metadata_store import (
    Committed,
    Conflict,
    MetadataStore,
    Transaction,
)
from chiveworks.metastore._sequence import encode_sequence

#: Time by which a term ends locally before its lease expires; covers clocks that run
#: at different speeds. The store measures the lease from the arrival of a renewal,
#: which is later than its sending.
VALIDITY_MARGIN: Final = timedelta(milliseconds=100)
#: Time without progress after which the lease is not renewed any more, so that a
#: process that no longer schedules does not keep others from leading.
PROGRESS_LIMIT: Final = timedelta(seconds=3)
#: Age of the last confirmation by a write from which the store is asked for the leader.
CONFIRMATION_LIMIT: Final = timedelta(seconds=1)
#: Interval at which that age is checked.
CONFIRMATION_CHECK: Final = timedelta(milliseconds=250)
#: Pause before a write that failed or has an unknown outcome is retried.
WRITE_RETRY_PAUSE: Final = timedelta(milliseconds=30)


class TermLostError(Exception):
    """The term has ended, so another process leads or may lead."""


class Term:
    """Leadership of this process from its acquisition until it is lost.

    Every write expects the revision of the sequence key that the previous write
    produced. A delayed write that reaches the store after a later one is therefore
    rejected, and so is every write of a former leader.

    Args:
        store: Metadata store that grants the term.
        clock: Source of time; must advance while the machine is suspended.
        log: Log for the end of the term.
        leader_value: Content of the leader key, unique to the term.
        token: Fencing token; higher than that of all earlier terms.
        last_writer: Last term before this one that has written.
        lease: Store lease of the leader key.
        ttl: Time to live of the lease after a renewal.
        acquired_at: When the request for the lease was sent.

    Attributes:
        valid_until: When the term ends unless its lease is renewed.
        acquired_at: When the request for the lease was sent.
        confirmed_at: Latest known time at which no other term had begun. The store may
            end a term before the process notices, which goes on meanwhile.
        lost: Set once the term has ended.
        progressed_at: When the process last did work of the term.
    """

    def __init__(
        self,
        store: MetadataStore,
        clock: Clock,
        log: EventLog,
        leader_value: str,
        token: Epoch,
        last_writer: LastWriter,
        lease: StoreLeaseId,
        ttl: timedelta,
        acquired_at: timedelta,
    ) -> None:
        self.leader_value = leader_value
        self.token = token
        self.last_writer = last_writer
        self.acquired_at = acquired_at
        self.confirmed_at = acquired_at
        self.valid_until = acquired_at + ttl - VALIDITY_MARGIN
        self.lost = asyncio.Event()
        self.progressed_at = clock.monotonic()
        self._store = store
        self._clock = clock
        self._log = log
        self._lease = lease
        self._ttl = ttl
        self._revision = Revision(token)
        self._write_numbers = itertools.count(1)

    @property
    def valid(self) -> bool:
        """Whether the lease is still valid by the local clock; once false, it stays so."""
        return not self.lost.is_set() and self._clock.monotonic() < self.valid_until

    def end(self, reason: str) -> None:
        """Ends the term locally and logs the reason."""
        if not self.lost.is_set():
            self.lost.set()
            self._log.write('leadership_lost', token=self.token, reason=reason)

    def note_progress(self) -> None:
        """Takes note that the process still does the work of the term."""
        self.progressed_at = self._clock.monotonic()

    async def renew_until_lost(self) -> None:
        """Renews the lease until the term is lost."""
        self.end(await self.keep_lease(self._store))

    async def keep_lease(self, store: MetadataStore) -> str:
        """Renews the lease as long as the process makes progress.

        Does not change the state of the term but for `valid_until`, so that it can run
        in another thread.

        Args:
            store: Client of the store to renew the lease with.

        Returns:
            Why the term has ended.
        """
        while self.valid:
            sent_at = self._clock.monotonic()
            if sent_at - self.progressed_at > PROGRESS_LIMIT:
                await self._clock.sleep(self._ttl / 15)
                continue
            result = await store.renew_lease(self._lease)
            if isinstance(result, Err):
                await self._clock.sleep(self._ttl / 15)
                continue
            if not result.ok_value:
                return 'the lease has ended'
            if self._clock.monotonic() >= self.valid_until:
                # Work of the term may already have been given up.
                break
            self.valid_until = sent_at + self._ttl - VALIDITY_MARGIN
            await self._clock.sleep(self._ttl / 4)
        return 'the lease was not renewed in time'

    async def keep_confirmed(self) -> None:
        """Reads the leader key while no write confirms the term, until it is lost."""
        while not self.lost.is_set():
            await self._clock.sleep(CONFIRMATION_CHECK)
            sent_at = self._clock.monotonic()
            if sent_at - self.confirmed_at < CONFIRMATION_LIMIT:
                continue
            result = await self._store.read(LEADER_KEY)
            if isinstance(result, Err):
                continue
            if result.ok_value.content == self.leader_value.encode():
                self._confirm(sent_at)
            else:
                self.end('the leader key has changed')

    async def resign(self, reason: str = 'resigned') -> None:
        """Ends the term and revokes its lease, so that another process can lead."""
        self.end(reason)
        await self._store.revoke_lease(self._lease)

    async def write(
        self, writes: Mapping[str, bytes], removals: Sequence[str] = ()
    ) -> None:
        """Applies a transaction after all earlier ones of the term.

        Args:
            writes: New contents by key.
            removals: Keys to remove.

        Raises:
            TermLostError: The term ended before the transaction was confirmed, which
                may have been applied.
        """
        number = next(self._write_numbers)
        sequence_value = encode_sequence(self.token, number)
        transaction = Transaction(
            expected={SEQUENCE_KEY: self._revision},
            writes={**writes, SEQUENCE_KEY: sequence_value},
            removals=removals,
        )
        while not self.lost.is_set():
            sent_at = self._clock.monotonic()
            result = await self._store.commit(transaction)
            if isinstance(result, Err):
                await self._clock.sleep(WRITE_RETRY_PAUSE)
            elif self._handle_outcome(result.ok_value, sequence_value):
                self._confirm(sent_at)
                return
        raise TermLostError(
            f'term {self.token} ended before write {number} was confirmed'
        )

    async def remove_unchanged(self, revisions: Mapping[str, Revision]) -> list[str]:
        """Removes keys that have not changed, beside the ordered writes of the term.

        Args:
            revisions: Revision of each key at which it was read.

        Returns:
            The keys that need no further attempt. If a key has changed, only such keys
            are returned, and nothing is removed.
        """
        result = await self._store.commit(
            Transaction(expected=revisions, removals=tuple(revisions))
        )
        if isinstance(result, Err):
            return []
        outcome = result.ok_value
        if isinstance(outcome, Committed):
            return list(revisions)
        return [
            key
            for key, revision in revisions.items()
            if key not in outcome.items or outcome.items[key].revision != revision
        ]

    def _confirm(self, sent_at: timedelta) -> None:
        self.confirmed_at = max(self.confirmed_at, sent_at)

    def _handle_outcome(
        self, outcome: Committed | Conflict, sequence_value: bytes
    ) -> bool:
        """Returns whether the write was applied; if not, ends the term."""
        if isinstance(outcome, Committed):
            self._revision = outcome.revision
            return True
        current = outcome.items.get(SEQUENCE_KEY)
        if current is not None and current.content == sequence_value:
            # An earlier attempt at this write was applied, but its response was lost.
            self._revision = current.revision
            return True
        self.end('another process has changed the sequence key')
        return False
