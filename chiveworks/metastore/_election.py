"""How the process that schedules is chosen, through the store."""

import asyncio
import random
import secrets
from datetime import timedelta
from typing import Final

from result import Err, Ok

from chiveworks.base import Clock, EntryId, Epoch, Revision, StoreLeaseId
from chiveworks.metastore._keys import LEADER_KEY, LEADER_PREFIX, SEQUENCE_KEY
from chiveworks.metastore._metadata_store import (
    Change,
    Committed,
    MetadataStore,
)
from chiveworks.metastore._replica import Replica
from chiveworks.metastore._term import Term
from chiveworks.events import EventLog

#: Lifetime of the leader's lease without renewal: a pause in scheduling after a
#: kill is at most this long, while four renewals in a row may fail.
LEADER_TTL: Final = timedelta(milliseconds=1400)
#: Pause after contending in vain, for example while the store is away.
RETRY_PAUSE: Final = timedelta(milliseconds=60)
#: How often a vacancy is looked for.
_POLL: Final = timedelta(milliseconds=25)
_HOLDER: Final = LEADER_KEY.removeprefix(LEADER_PREFIX)


class Election:
    """Waits for a vacancy and contends for it.

    Args:
        store: Where the leader key is.
        clock: Source of time.
        log: Where the outcome is written.
        process: Name of this process, stored for operators.
        handicap: Longest random wait before contending; small for large machines.
    """

    def __init__(
        self,
        store: MetadataStore,
        clock: Clock,
        log: EventLog,
        process: EntryId,
        handicap: timedelta,
    ) -> None:
        self._store = store
        self._clock = clock
        self._log = log
        self._process = process
        self._handicap = handicap
        self._changed = asyncio.Event()
        self._barred_until = timedelta()
        self._past_mark = ''
        self._replaced_mark = ''
        self.leader: Replica[str] = Replica(
            store, LEADER_PREFIX, _decode_leader, clock, log
        )
        self.leader.subscribe(self._on_change)

    @property
    def vacant(self) -> bool:
        """Whether the store is known to name no leader, or a past term of ours.

        A lease may outlast an outage of the store in which our term ended.
        """
        named = self.leader.entries.get(_HOLDER)
        return self.leader.synced and (named is None or named == self._past_mark)

    def stand_aside(self, duration: timedelta) -> None:
        """Keeps this process from contending for a while."""
        self._barred_until = self._clock.monotonic() + duration

    async def campaign(self) -> Term:
        """Returns once this process leads."""
        while True:
            await self._wait_for_vacancy()
            await self._clock.sleep(self._handicap * random.random())
            if self.vacant:
                term = await self._contend()
                if term is not None:
                    return term
            await self._clock.sleep(RETRY_PAUSE)

    async def watch_term(self, term: Term) -> None:
        """Ends the term when the store names another leader or none.

        The store may remove the key without ending the lease's renewals.
        """
        seen = False
        while not term.lost.is_set():
            self._changed.clear()
            named = self.leader.entries.get(_HOLDER)
            if named == term.mark:
                seen = True
            elif seen or named not in {None, self._replaced_mark}:
                term.end('the leader key has changed')
                return
            await self._changed.wait()

    async def _wait_for_vacancy(self) -> None:
        while not self.vacant or self._clock.monotonic() < self._barred_until:
            await self._clock.sleep(_POLL)

    def _on_change(self, _name: str, _leader: str | None) -> None:
        self._changed.set()

    async def _contend(self) -> Term | None:
        sequence = await self._store.read(SEQUENCE_KEY)
        holder = await self._store.read(LEADER_KEY)
        if isinstance(sequence, Err) or isinstance(holder, Err):
            return None
        if holder.ok_value.content not in {None, self._past_mark.encode()}:
            return None
        started_at = self._clock.monotonic()
        granted = await self._store.grant_lease(LEADER_TTL)
        if isinstance(granted, Err):
            return None
        mark = f'{self._process} {secrets.token_hex(8)}'
        expected = {
            LEADER_KEY: holder.ok_value.revision,
            SEQUENCE_KEY: sequence.ok_value.revision,
        }
        revision = await self._take(mark, granted.ok_value, expected)
        if revision is None:
            await self._store.revoke_lease(granted.ok_value)
            return None
        term = Term(
            self._store,
            self._clock,
            self._log,
            mark,
            Epoch(revision),
            granted.ok_value,
            LEADER_TTL,
            started_at,
        )
        self._replaced_mark = self._past_mark
        self._past_mark = mark
        self._log.write('leadership_gained', token=revision, process=self._process)
        return term

    async def _take(
        self, mark: str, lease: StoreLeaseId, expected: dict[str, Revision]
    ) -> Revision | None:
        content = mark.encode()
        change = Change(
            expected=expected,
            writes={LEADER_KEY: content, SEQUENCE_KEY: content},
            lease=lease,
            leased=frozenset((LEADER_KEY,)),
        )
        answer = await self._store.commit(change)
        if isinstance(answer, Ok) and isinstance(answer.ok_value, Committed):
            return answer.ok_value.revision
        # An unanswered write may have been applied: the key then names us.
        current = await self._store.read(LEADER_KEY)
        if isinstance(current, Ok) and current.ok_value.content == content:
            return current.ok_value.revision
        return None


def _decode_leader(_name: str, content: bytes) -> str | None:
    return content.decode(errors='replace')
