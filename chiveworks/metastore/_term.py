"""One term of leadership: its token, its store lease, and its chain of writes."""

import asyncio
import itertools
from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import Final

import msgpack
from result import Err

from chiveworks.base import Clock, Epoch, Revision, StoreLeaseId
from chiveworks.metastore._keys import SEQUENCE_KEY
from chiveworks.metastore._metadata_store import (
    Change,
    Committed,
    Conflict,
    MetadataStore,
)
from chiveworks.events import EventLog

#: The store counts the lease from the arrival of a renewal, which is later than
#: its sending; the margin covers clocks that run at different speeds.
VALIDITY_MARGIN: Final = timedelta(milliseconds=100)
#: Pause before a write whose outcome is not known is sent again.
WRITE_RETRY_PAUSE: Final = timedelta(milliseconds=30)


class TermLostError(Exception):
    """Another process leads, or the store may have let it."""


class Term:
    """Leadership from its acquisition until it is lost.

    Every write expects the revision of the sequence key that the write before it
    produced. A write that the store applies late, after a later one, fails for
    that reason, and so does every write of a former leader.

    Args:
        store: Where the term is held.
        clock: Source of time; must count while the machine is suspended.
        log: Where the end of the term is written.
        mark: Content of the leader key, unique to the term.
        token: Fencing token; higher than that of all earlier terms.
        lease: Store lease of the leader key.
        ttl: Lifetime of the lease after a renewal.
        acquired_at: When the first renewal was sent.
    """

    def __init__(
        self,
        store: MetadataStore,
        clock: Clock,
        log: EventLog,
        mark: str,
        token: Epoch,
        lease: StoreLeaseId,
        ttl: timedelta,
        acquired_at: timedelta,
    ) -> None:
        self.mark = mark
        self.token = token
        self.valid_until = acquired_at + ttl - VALIDITY_MARGIN
        self.lost = asyncio.Event()
        self._store = store
        self._clock = clock
        self._log = log
        self._lease = lease
        self._ttl = ttl
        self._revision = Revision(token)
        self._numbers = itertools.count(1)

    @property
    def valid(self) -> bool:
        """Whether the store still grants the lease, by our own clock."""
        return not self.lost.is_set() and self._clock.monotonic() < self.valid_until

    def end(self, reason: str) -> None:
        """Marks the term as lost."""
        if not self.lost.is_set():
            self.lost.set()
            self._log.write('leadership_lost', token=self.token, reason=reason)

    async def renew_until_lost(self) -> None:
        """Renews the lease until the term is lost."""
        while self.valid:
            sent_at = self._clock.monotonic()
            answer = await self._store.renew_lease(self._lease)
            if isinstance(answer, Err):
                await self._clock.sleep(self._ttl / 15)
                continue
            if not answer.ok_value:
                self.end('the lease has ended')
                return
            self.valid_until = sent_at + self._ttl - VALIDITY_MARGIN
            await self._clock.sleep(self._ttl / 4)
        self.end('the lease was not renewed in time')

    async def resign(self) -> None:
        """Gives the leadership up, so that another process need not wait."""
        self.end('resigned')
        await self._store.revoke_lease(self._lease)

    async def write(
        self, writes: Mapping[str, bytes], removals: Sequence[str] = ()
    ) -> None:
        """Applies one transaction after all earlier ones of the term.

        Raises:
            TermLostError: Another process leads, or the lease has run out.
        """
        number = next(self._numbers)
        mark: bytes = msgpack.packb((self.token, number))
        change = Change(
            expected={SEQUENCE_KEY: self._revision},
            writes={**writes, SEQUENCE_KEY: mark},
            removals=removals,
        )
        while not self.lost.is_set():
            answer = await self._store.commit(change)
            if isinstance(answer, Err):
                await self._clock.sleep(WRITE_RETRY_PAUSE)
            elif self._accept(answer.ok_value, mark):
                return
        raise TermLostError(f'term {self.token} ended before write {number}')

    def _accept(self, outcome: Committed | Conflict, mark: bytes) -> bool:
        if isinstance(outcome, Committed):
            self._revision = outcome.revision
            return True
        current = outcome.items.get(SEQUENCE_KEY)
        if current is not None and current.content == mark:
            # An earlier sending of the same write was applied unanswered.
            self._revision = current.revision
            return True
        self.end('another process has written')
        return False
