"""Adoption and reversal of manual overrides."""

import asyncio
from collections.abc import Mapping
from dataclasses import replace

from result import Err, Ok, Result

from chiveworks.base import Failure, Step, Verdict, WorkerId
from chiveworks.catalogue import CatalogueEditor
from chiveworks.jobs import (
    Change,
    OverrideClosed,
    OverrideNoted,
    OverrideRecord,
    TaskReleased,
    TaskResized,
)
from chiveworks.membership import (
    FailureReason,
    OverrideAction,
    OverrideKind,
    OverrideResolution,
    OverrideView,
    ShardFailure,
    TaskState,
)
from chiveworks.scheduler._copy_search import CopySearch
from chiveworks.scheduler._fleet import Fleet
from chiveworks.scheduler._shard_context import ShardContext
from chiveworks.scheduler._shard_lost_error import ShardLostError
from chiveworks.scheduler._worker_session import WorkerSession
from chiveworks.workers import Refusal

_ADOPTED = '; adopted by '


class OverrideResolver:
    """Executes an operator's decision to adopt or revert an override.

    | kind      | adopt                                  | revert               |
    | stopped   | the task counts as cancelled           | it runs again        |
    | moved     | it stays on its new worker             | it is evicted        |
    | resized   | the catalogue entry takes the new size | the old size returns |
    | unclaimed | it stays and holds its resources       | it is stopped        |

    A moved task that cannot be evicted (neither idempotent nor able to checkpoint)
    stays on its new worker. The override of a task that is being stopped stays
    open until a report confirms the end, and that of an adopted unclaimed task as
    long as the task runs.
    """

    def __init__(
        self,
        context: ShardContext,
        editor: CatalogueEditor,
        fleet: Fleet,
        copies: CopySearch,
        sessions: Mapping[WorkerId, WorkerSession],
    ) -> None:
        self._tenure = context.tenure
        self._table = context.table
        self._committer = context.committer
        self._replica = context.replica
        self._editor = editor
        self._fleet = fleet
        self._copies = copies
        self._sessions = sessions

    async def resolve(
        self, resolution: OverrideResolution
    ) -> Result[OverrideView, Failure]:
        """Adopts or reverts an override."""
        override = self._table.overrides.get(resolution.override_id)
        if override is None:
            return Err(self._no_open_override(resolution.override_id))
        try:
            failure = await self._execute(override, resolution)
        except ShardLostError as error:
            return Err(self._outcome_unknown(f'the shard changed its owner: {error}'))
        if failure is not None:
            return Err(failure)
        return Ok(override.view(self._tenure.zone))

    async def _execute(
        self, override: OverrideRecord, resolution: OverrideResolution
    ) -> Failure | None:
        if resolution.action is OverrideAction.ADOPT:
            return await self._adopt(override, resolution.author)
        return await self._revert(override)

    async def _adopt(self, override: OverrideRecord, author: str) -> Failure | None:
        match override.kind:
            case OverrideKind.STOPPED:
                return await self._release(override, TaskState.CANCELLED)
            case OverrideKind.UNCLAIMED:
                await self._mark_adopted(override, author)
                return None
            case OverrideKind.RESIZED:
                failure = await self._adopt_size(override, author)
                if failure is not None:
                    return failure
        await self._commit(OverrideClosed(override.override_id, f'adopted by {author}'))
        return None

    async def _revert(self, override: OverrideRecord) -> Failure | None:
        match override.kind:
            case OverrideKind.STOPPED:
                # The task may have been started by hand on another worker in the
                # meantime; the renewed reports then turn this override into a
                # move.
                await asyncio.gather(
                    *(session.renew() for session in self._sessions.values())
                )
                obstacle = await self._search_copies(override)
                return obstacle or await self._release(override, TaskState.QUEUED)
            case OverrideKind.RESIZED:
                return await self._restore_size(override)
            case OverrideKind.MOVED if not self._may_evict(override):
                return self._refuse(
                    'the task is neither idempotent nor able to checkpoint, so it '
                    'cannot be evicted',
                    'adopt the move, or wait until the task has ended',
                )
        return await self._stop(override)

    async def _search_copies(self, override: OverrideRecord) -> Failure | None:
        if override.task_id not in self._table.tasks:
            return None
        spec = self._table.job_of(override.task_id).spec
        return await self._copies.find_obstacle(
            override.task_id, may_run_twice=spec.idempotent
        )

    async def _release(
        self, override: OverrideRecord, state: TaskState
    ) -> Failure | None:
        task = self._table.tasks.get(override.task_id)
        is_open = override.override_id in self._table.overrides
        if task is None or task.state is not TaskState.HELD or not is_open:
            return self._no_open_override(override.override_id)
        # A single commit, so that a concurrent decision finds no open override.
        outcome = 'adopted' if state is TaskState.CANCELLED else 'reverted'
        await self._commit(
            TaskReleased(task.task_id, state),
            OverrideClosed(override.override_id, outcome),
        )
        return None

    async def _mark_adopted(self, override: OverrideRecord, author: str) -> None:
        if _ADOPTED not in override.detail:
            detail = f'{override.detail}{_ADOPTED}{author}'
            await self._commit(OverrideNoted(replace(override, detail=detail)))

    async def _adopt_size(
        self, override: OverrideRecord, author: str
    ) -> Failure | None:
        entry = self._replica.entry(override.entry)
        if entry is None:
            return self._refuse(
                f'the catalogue has no entry {override.entry!r}',
                'apply the entry again, or revert the override',
                FailureReason.UNKNOWN_ENTRY,
            )
        resized = entry.model_copy(
            update={
                'cpu_millicores': override.allotted.cpu_millicores,
                'memory_bytes': override.allotted.memory_bytes,
                'accelerators': override.allotted.accelerators,
            }
        )
        revision = self._replica.entry_revision(override.entry)
        applied = await self._editor.apply(resized, revision, author)
        if isinstance(applied, Ok):
            return None
        if isinstance(applied.err_value, Failure):
            return applied.err_value
        return self._refuse(
            f'catalogue entry {override.entry!r} was changed concurrently',
            'check the entry, then adopt the override again',
            FailureReason.CONFLICT,
        )

    async def _restore_size(self, override: OverrideRecord) -> Failure | None:
        session = self._sessions.get(override.worker)
        if session is None:
            return self._worker_unreachable(override)
        renewed = await session.renew()
        if isinstance(renewed, Err):
            return self._worker_unreachable(override)
        task = self._table.tasks.get(override.task_id)
        if override.override_id not in self._table.overrides or task is None:
            return self._no_open_override(override.override_id)
        declared = self._table.job_of(task.task_id).spec.resources
        if not (declared - task.reserved).fits_in(self._fleet.free_on(session)):
            return self._refuse(
                f'worker {override.worker} has no room for the declared size',
                'wait until a task there has ended, or adopt the new size',
            )
        # Reserved before the worker resizes the task; if the resize fails, a report
        # corrects the reservation.
        self._committer.commit(
            TaskResized(task.task_id, declared.maximum(task.reserved))
        )
        resized = await session.resize(
            override.task_id, override.attempt, declared.cpu_millicores
        )
        if isinstance(resized, Err):
            return self._command_failed(override, resized.err_value)
        if task.is_active:
            self._committer.commit(TaskResized(task.task_id, declared))
        await self._commit(OverrideClosed(override.override_id, 'reverted'))
        return None

    async def _stop(self, override: OverrideRecord) -> Failure | None:
        session = self._sessions.get(override.worker)
        if session is None:
            return self._worker_unreachable(override)
        stopped = await session.stop(
            override.task_id, override.attempt, checkpoint=True
        )
        if isinstance(stopped, Err):
            return self._command_failed(override, stopped.err_value)
        # The report that confirms the end frees the resources.
        await session.renew()
        return None

    def _may_evict(self, override: OverrideRecord) -> bool:
        if override.task_id not in self._table.tasks:
            return True
        return self._table.job_of(override.task_id).spec.resumable

    async def _commit(self, *changes: Change) -> None:
        # Shielded, because a cancelled caller must not cancel the commit that other
        # callers wait for.
        await asyncio.shield(self._committer.commit(*changes))

    def _no_open_override(self, override_id: str) -> ShardFailure:
        return self._refuse(
            f'there is no open override {override_id!r}',
            'list the open ones with chiveworks status',
            FailureReason.UNKNOWN_OVERRIDE,
        )

    def _worker_unreachable(self, override: OverrideRecord) -> ShardFailure:
        return self._refuse(
            f'worker {override.worker} is unreachable',
            'repeat the command once the worker is reachable',
        )

    def _command_failed(
        self, override: OverrideRecord, error: Failure | Refusal
    ) -> ShardFailure:
        if isinstance(error, Refusal):
            return self._refuse(f'worker {override.worker}: {error}')
        if error.verdict is Verdict.NOT_RUN:
            return self._worker_unreachable(override)
        return self._outcome_unknown(f'worker {override.worker}: {error.message}')

    def _outcome_unknown(self, message: str) -> ShardFailure:
        return ShardFailure(
            Verdict.OUTCOME_UNKNOWN,
            Step.STOP,
            self._tenure.owner,
            message,
            'check chiveworks status, then repeat the command',
        )

    def _refuse(
        self,
        message: str,
        next_step: str = '',
        reason: FailureReason = FailureReason.UNSPECIFIED,
    ) -> ShardFailure:
        return ShardFailure(
            Verdict.NOT_RUN,
            Step.VALIDATE,
            self._tenure.owner,
            message,
            next_step,
            reason=reason,
        )
