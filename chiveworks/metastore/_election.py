"""Leader election through the metadata store."""

import asyncio
import random
import secrets
from datetime import timedelta
from typing import Final

from result import Err, Ok

from chiveworks.base import Clock, EntryId, Epoch, Revision, StoreLeaseId
from chiveworks.events import EventLog
from chiveworks.metastore._candidacy import Candidacy
from chiveworks.metastore._keys import (
    CAPACITY_KEY,
    CHALLENGE_KEY,
    LEADER_KEY,
    LEADER_PREFIX,
    SEQUENCE_KEY,
    SPEED_KEY,
)
from chiveworks.metastore._metadata_store import (
    Committed,
    MetadataStore,
    Transaction,
)
from chiveworks.metastore._replica import Replica
from chiveworks.metastore._sequence import encode_acquisition
from chiveworks.metastore._term import Term
from chiveworks.metastore._term_history import TermHistory

#: Pause after a failed attempt to become leader, such as during a store outage.
RETRY_PAUSE: Final = timedelta(milliseconds=60)
#: Interval between checks for a vacancy.
_POLL_INTERVAL: Final = timedelta(milliseconds=25)
#: Time for which a slower leader leads before a faster process takes over, so that
#: takeovers do not follow each other quickly.
TAKEOVER_AFTER: Final = timedelta(seconds=2)
#: Upper bound of the random delay before a takeover, so that one process begins it.
TAKEOVER_DELAY: Final = timedelta(milliseconds=300)
#: Interval between checks whether this process should take over.
TAKEOVER_INTERVAL: Final = timedelta(milliseconds=500)
#: Time for which a leader that has made way leaves the leadership to others.
REST: Final = timedelta(seconds=1)
_HOLDER_NAME: Final = LEADER_KEY.removeprefix(LEADER_PREFIX)
_SPEED_NAME: Final = SPEED_KEY.removeprefix(LEADER_PREFIX)
_CAPACITY_NAME: Final = CAPACITY_KEY.removeprefix(LEADER_PREFIX)
_CHALLENGE_NAME: Final = CHALLENGE_KEY.removeprefix(LEADER_PREFIX)


class Election:
    """Elects this process as leader once there is no other one.

    Args:
        store: Metadata store that holds the leader key.
        clock: Source of time.
        log: Log for the election of this process.
        process: Name of this process, stored in the leader key for operators.
        candidacy: Order in which processes contend.

    Attributes:
        leader: Replica of the leader key, the speed of the fastest process, the
            latest challenge of a leader and the shapes of the workers.
    """

    def __init__(
        self,
        store: MetadataStore,
        clock: Clock,
        log: EventLog,
        process: EntryId,
        candidacy: Candidacy,
    ) -> None:
        self._store = store
        self._clock = clock
        self._log = log
        self._process = process
        self._candidacy = candidacy
        self._changed = asyncio.Event()
        self._candidacy_paused_until = timedelta()
        self._last_leader_value = ''
        self._replaced_leader_value = ''
        self.leader: Replica[str] = Replica(
            store, LEADER_PREFIX, _decode_leader, clock, log
        )
        self.leader.subscribe(self._on_change)
        self._history = TermHistory(clock)

    @property
    def vacant(self) -> bool:
        """Whether the store names no leader, or only a past term of this process.

        The lease of a past term may outlast the store outage that ended the term.
        """
        holder_value = self.leader.entries.get(_HOLDER_NAME)
        return self.leader.synced and (
            holder_value is None or holder_value == self._last_leader_value
        )

    @property
    def capacity(self) -> str | None:
        """Latest record of the workers' shapes, of any term; None if there is none."""
        return self.leader.entries.get(_CAPACITY_NAME)

    def pause_candidacy(self, duration: timedelta) -> None:
        """Prevents this process from contending for the given time."""
        self._candidacy_paused_until = self._clock.monotonic() + duration

    async def campaign(self) -> Term:
        """Contends until this process is the leader, and returns its term."""
        while True:
            await self._wait_for_vacancy()
            await self._clock.sleep(self._candidacy.delay(self._fastest_cores()))
            if self.vacant:
                term = await self._contend()
                if term is not None:
                    return term
            await self._clock.sleep(RETRY_PAUSE)

    async def challenge_slower_leaders(self) -> None:
        """Registers the speed of this process and takes over from slower leaders."""
        registered = False
        holder_value: str | None = None
        since = timedelta()
        while True:
            registered = registered or await self._register_speed()
            await self._clock.sleep(TAKEOVER_INTERVAL)
            now = self._clock.monotonic()
            current = self.leader.entries.get(_HOLDER_NAME)
            if current != holder_value:
                holder_value, since = current, now
            elif current and now - since >= TAKEOVER_AFTER and self._outranks(current):
                await self._challenge(current)

    async def watch_term(self, term: Term) -> None:
        """Ends the term once the store names another leader or none, or for a faster one.

        The store may remove the leader key although it still renews the lease.
        """
        confirmed = False
        while not term.lost.is_set():
            self._changed.clear()
            holder_value = self.leader.entries.get(_HOLDER_NAME)
            if holder_value == term.leader_value:
                confirmed = True
            elif confirmed or holder_value not in {None, self._replaced_leader_value}:
                term.end('the leader key has changed')
                return
            if self.leader.entries.get(_CHALLENGE_NAME) == term.leader_value:
                self.pause_candidacy(REST)
                await term.resign('makes way for a faster process')
                return
            await self._changed.wait()

    async def _wait_for_vacancy(self) -> None:
        while not self.vacant or self._clock.monotonic() < self._candidacy_paused_until:
            await self._clock.sleep(_POLL_INTERVAL)

    def _on_change(self, name: str, _entry: str | None) -> None:
        if name == _HOLDER_NAME:
            # The leader key is written only at the beginning of a term.
            revision = self.leader.revision(name)
            if revision is not None:
                self._history.observe(Epoch(revision))
        self._changed.set()

    def _fastest_cores(self) -> float:
        return _parse_cores(self.leader.entries.get(_SPEED_NAME, ''))

    def _outranks(self, holder_value: str) -> bool:
        challenged = self.leader.entries.get(_CHALLENGE_NAME) == holder_value
        paused = self._clock.monotonic() < self._candidacy_paused_until
        leader_cores = _parse_cores(holder_value)
        return (
            leader_cores > 0
            and not challenged
            and not paused
            and self._candidacy.outranks(leader_cores)
        )

    async def _register_speed(self) -> bool:
        """Stores the speed of this process if it is the fastest; tells if that is done."""
        if not self.leader.synced:
            return False
        cores = self._candidacy.cores
        if cores <= self._fastest_cores():
            return True
        stored = await self._store.read(SPEED_KEY)
        if isinstance(stored, Err):
            return False
        item = stored.ok_value
        if cores <= _parse_cores((item.content or b'').decode(errors='replace')):
            return True
        transaction = Transaction(
            {SPEED_KEY: item.revision}, {SPEED_KEY: f'{cores:g}'.encode()}
        )
        result = await self._store.commit(transaction)
        return isinstance(result, Ok) and isinstance(result.ok_value, Committed)

    async def _challenge(self, holder_value: str) -> None:
        await self._clock.sleep(TAKEOVER_DELAY * random.random())
        if self.leader.entries.get(_HOLDER_NAME) != holder_value:
            return
        stored = await self._store.read(CHALLENGE_KEY)
        if isinstance(stored, Err):
            return
        content = holder_value.encode()
        if stored.ok_value.content == content:
            return
        transaction = Transaction(
            {CHALLENGE_KEY: stored.ok_value.revision}, {CHALLENGE_KEY: content}
        )
        await self._store.commit(transaction)
        self._log.write('leader_challenged', leader=holder_value)

    async def _contend(self) -> Term | None:
        sequence_result = await self._store.read(SEQUENCE_KEY)
        holder_result = await self._store.read(LEADER_KEY)
        if isinstance(sequence_result, Err) or isinstance(holder_result, Err):
            return None
        if holder_result.ok_value.content not in {
            None,
            self._last_leader_value.encode(),
        }:
            return None
        started_at = self._clock.monotonic()
        ttl = self._candidacy.lease_ttl
        lease_result = await self._store.grant_lease(ttl)
        if isinstance(lease_result, Err):
            return None
        cores = self._candidacy.cores
        leader_value = f'{self._process} {secrets.token_hex(8)} {cores:g}'
        expected = {
            LEADER_KEY: holder_result.ok_value.revision,
            SEQUENCE_KEY: sequence_result.ok_value.revision,
        }
        last_writer = self._history.last_writer(sequence_result.ok_value)
        revision = await self._acquire_leader_key(
            leader_value,
            encode_acquisition(last_writer, leader_value, self._clock.monotonic()),
            lease_result.ok_value,
            expected,
        )
        if revision is None:
            await self._store.revoke_lease(lease_result.ok_value)
            return None
        term = Term(
            self._store,
            self._clock,
            self._log,
            leader_value,
            Epoch(revision),
            last_writer,
            lease_result.ok_value,
            ttl,
            started_at,
        )
        self._replaced_leader_value = self._last_leader_value
        self._last_leader_value = leader_value
        self._log.write(
            'leadership_gained', token=revision, process=self._process, cores=cores
        )
        return term

    async def _acquire_leader_key(
        self,
        leader_value: str,
        sequence_value: bytes,
        lease: StoreLeaseId,
        expected: dict[str, Revision],
    ) -> Revision | None:
        content = leader_value.encode()
        transaction = Transaction(
            expected=expected,
            writes={LEADER_KEY: content, SEQUENCE_KEY: sequence_value},
            lease=lease,
            leased=frozenset((LEADER_KEY,)),
        )
        result = await self._store.commit(transaction)
        if isinstance(result, Ok) and isinstance(result.ok_value, Committed):
            return result.ok_value.revision
        # If a write without a response was applied, the key holds the value of this
        # term.
        current = await self._store.read(LEADER_KEY)
        if isinstance(current, Ok) and current.ok_value.content == content:
            return current.ok_value.revision
        return None


def _parse_cores(text: str) -> float:
    """Returns the number at the end of a leader value or speed; 0 if there is none."""
    number = text.rpartition(' ')[2]
    try:
        return float(number)
    except ValueError:
        return 0


def _decode_leader(_name: str, content: bytes) -> str:
    return content.decode(errors='replace')
