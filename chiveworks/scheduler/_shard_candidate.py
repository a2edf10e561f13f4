"""Contends for the ownership of a zone's shard and schedules the shard it owns."""

import asyncio
import logging
from dataclasses import replace
from datetime import timedelta

from result import Err, Result

from chiveworks.base import Epoch, Failure
from chiveworks.jobs import OwnerStarted, TaskTable, decode_change, encode_change
from chiveworks.journal import Journal, JournalOwnershipLost, Replay
from chiveworks.membership import OwnerRecord
from chiveworks.scheduler._shard_environment import ShardEnvironment
from chiveworks.scheduler._shard_lease import ShardLease
from chiveworks.scheduler._shard_lost_error import ShardLostError
from chiveworks.scheduler._shard_parts import ShardParts, assemble_shard
from chiveworks.scheduler._tenure import Tenure

_LOG = logging.getLogger(__name__)
_RETRY_DELAY = timedelta(seconds=1)
_NO_DELAY = timedelta(0)
_RELEASE_TIMEOUT = timedelta(seconds=5)


class ShardCandidate:
    """Runs one tenure after another until the process stops.

    Args:
        environment: Services of the entry process.
        contend_delay: Maximum delay between noticing that the shard has no owner
            and trying to acquire it; the delay is random and at least half of this.
            It gives precedence to other candidates.
    """

    def __init__(
        self, environment: ShardEnvironment, contend_delay: timedelta = _NO_DELAY
    ) -> None:
        self._environment = environment
        self._contend_delay = contend_delay
        self._parts: ShardParts | None = None
        self._is_releasing = asyncio.Event()

    @property
    def is_owner(self) -> bool:
        """Whether this candidate currently owns the shard."""
        return self._parts is not None

    async def run(self) -> None:
        """Contends for the shard and schedules it.

        Returns after `release` if this candidate owns the shard. Otherwise the
        coroutine has to be cancelled.
        """
        while not self._is_releasing.is_set():
            lease = self._create_lease()
            await lease.wait_until_unowned()
            if self._contend_delay:
                await self._pause(self._contend_delay)
            acquired = await lease.acquire()
            if isinstance(acquired, Err):
                _LOG.warning('failed to acquire the shard: %s', acquired.err_value)
                await self._pause(_RETRY_DELAY)
            elif acquired.ok_value is not None:
                await self._serve(lease, acquired.ok_value)

    async def release(self) -> None:
        """Releases the shard cleanly, for a planned stop."""
        self._environment.local.withdraw()
        parts = self._parts
        if parts is not None:
            try:
                async with asyncio.timeout(_RELEASE_TIMEOUT.total_seconds()):
                    await parts.scheduler.release()
            except (TimeoutError, ShardLostError):
                _LOG.warning(
                    'failed to journal the release of the shard; the next owner may '
                    'wait longer for unreachable workers'
                )
        self._is_releasing.set()

    async def _serve(self, lease: ShardLease, epoch: Epoch) -> None:
        environment = self._environment
        tenure = Tenure(
            environment.zone,
            environment.entry_id,
            epoch,
            environment.clock.monotonic(),
        )
        _LOG.info('acquired the shard, epoch %d', epoch)
        try:
            await self._run_tenure(lease, tenure)
        except* ShardLostError as lost:
            _LOG.warning('ownership of the shard ended: %s', lost.exceptions[0])
        except* Exception:
            _LOG.exception('scheduling of the shard failed')
        finally:
            environment.local.withdraw()
            self._parts = None
            # Otherwise a successor would have to wait until the lease lapses.
            await lease.release()
            _LOG.info('released the shard, epoch %d', epoch)
        await self._pause(_RETRY_DELAY)

    async def _run_tenure(self, lease: ShardLease, tenure: Tenure) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(lease.renew_until_lost())
            group.create_task(self._end_on_release())
            table = TaskTable()
            journal, opened = await self._open_journal(tenure)
            if isinstance(opened, Err):
                raise ShardLostError(f'failed to open the journal: {opened.err_value}')
            # The last change is the start of this owner; it is applied after checking
            # for an unreleased predecessor.
            for stored in opened.ok_value.changes[:-1]:
                table.apply(decode_change(stored))
            tenure = replace(
                tenure, predecessor_released=table.unreleased_owner is None
            )
            table.apply(decode_change(opened.ok_value.changes[-1]))
            self._parts = assemble_shard(
                self._environment,
                tenure,
                table,
                journal,
                group,
            )
            self._parts.scheduler.start()
            self._announce(tenure)

    async def _end_on_release(self) -> None:
        await self._is_releasing.wait()
        raise ShardLostError('released for a planned stop')

    async def _open_journal(
        self, tenure: Tenure
    ) -> tuple[Journal, Result[Replay, Failure | JournalOwnershipLost]]:
        environment = self._environment
        journal = Journal(
            environment.store, tenure.zone, environment.clock, environment.random
        )
        opening = encode_change(OwnerStarted(tenure.owner, tenure.epoch))
        return journal, await journal.open(tenure.epoch, (opening,))

    def _announce(self, tenure: Tenure) -> None:
        environment = self._environment
        if self._parts is not None:
            environment.local.serve(self._parts.service)
        environment.owners.update(
            (
                OwnerRecord(
                    zone=tenure.zone,
                    epoch=tenure.epoch,
                    owner=tenure.owner,
                    peer_address=environment.peer_address,
                ),
            )
        )

    def _create_lease(self) -> ShardLease:
        environment = self._environment
        return ShardLease(
            environment.store,
            environment.zone,
            environment.entry_id,
            environment.peer_address,
            environment.clock,
            environment.random,
            environment.timings,
        )

    async def _pause(self, longest: timedelta) -> None:
        share = float(self._environment.random.uniform(0.5, 1))
        await self._environment.clock.sleep(longest * share)
