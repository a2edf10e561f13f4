"""Adopts or reverts manual overrides."""

from collections.abc import Mapping

from result import Err, Ok, Result

from chiveworks.base import Failure, Step, Verdict, WorkerId
from chiveworks.catalogue import CatalogueEditor
from chiveworks.jobs import (
    OverrideClosed,
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
from chiveworks.scheduler._shard_context import ShardContext
from chiveworks.scheduler._worker_session import WorkerSession


class OverrideResolver:
    """Carries out an operator's decision on an override.

    | kind      | adopt                                  | revert               |
    | stopped   | the task counts as cancelled           | it runs again        |
    | moved     | it stays on its new worker             | it is evicted        |
    | resized   | the catalogue entry takes the new size | the old size returns |
    | unclaimed | it stays and holds its resources       | it is stopped        |
    """

    def __init__(
        self,
        context: ShardContext,
        editor: CatalogueEditor,
        sessions: Mapping[WorkerId, WorkerSession],
    ) -> None:
        self._tenure = context.tenure
        self._table = context.table
        self._ledger = context.ledger
        self._replica = context.replica
        self._editor = editor
        self._sessions = sessions

    async def resolve(
        self, resolution: OverrideResolution
    ) -> Result[OverrideView, Failure]:
        """Adopts or reverts one override."""
        override = self._table.overrides.get(resolution.override_id)
        if override is None:
            return Err(
                self._refuse(
                    f'there is no open override {resolution.override_id!r}',
                    FailureReason.UNKNOWN_OVERRIDE,
                )
            )
        if resolution.action is OverrideAction.ADOPT:
            failure = await self._adopt(override, resolution.author)
        else:
            failure = await self._revert(override)
        if failure is not None:
            return Err(failure)
        return Ok(override.view(self._tenure.zone))

    async def _adopt(self, override: OverrideRecord, author: str) -> Failure | None:
        if override.kind is OverrideKind.RESIZED:
            failure = await self._adopt_size(override, author)
            if failure is not None:
                return failure
        if override.kind is OverrideKind.STOPPED:
            await self._release(override, TaskState.CANCELLED)
        elif override.kind is OverrideKind.UNCLAIMED:
            # It stays listed: its resources are held as long as it runs.
            return None
        await self._ledger.commit(OverrideClosed(override.override_id))
        return None

    async def _revert(self, override: OverrideRecord) -> Failure | None:
        if override.kind is OverrideKind.STOPPED:
            await self._release(override, TaskState.QUEUED)
        elif override.kind is OverrideKind.RESIZED:
            failure = await self._restore_size(override)
            if failure is not None:
                return failure
        else:
            failure = await self._stop(override)
            if failure is not None:
                return failure
        await self._ledger.commit(OverrideClosed(override.override_id))
        return None

    async def _release(self, override: OverrideRecord, state: TaskState) -> None:
        task = self._table.tasks.get(override.task_id)
        if task is not None and task.state is TaskState.HELD:
            await self._ledger.commit(TaskReleased(task.task_id, state))

    async def _adopt_size(
        self, override: OverrideRecord, author: str
    ) -> Failure | None:
        entry = self._replica.entry(override.entry)
        if entry is None:
            return self._refuse(
                f'the catalogue has no entry {override.entry!r}',
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
            f'entry {override.entry!r} was changed at the same time',
            FailureReason.CONFLICT,
        )

    async def _restore_size(self, override: OverrideRecord) -> Failure | None:
        task = self._table.tasks.get(override.task_id)
        session = self._sessions.get(override.worker)
        if task is None or not task.is_active or session is None:
            return None
        declared = self._table.job_of(task.task_id).spec.resources
        resized = await session.resize(
            task.task_id, task.attempt, declared.cpu_millicores
        )
        if isinstance(resized, Err):
            return self._refuse(f'worker {override.worker}: {resized.err_value}')
        await self._ledger.commit(TaskResized(task.task_id, declared))
        return None

    async def _stop(self, override: OverrideRecord) -> Failure | None:
        session = self._sessions.get(override.worker)
        if session is None:
            return self._refuse(f'worker {override.worker} is not in reach')
        stopped = await session.stop(
            override.task_id, override.attempt, checkpoint=True
        )
        if isinstance(stopped, Err):
            return self._refuse(f'worker {override.worker}: {stopped.err_value}')
        return None

    def _refuse(
        self, message: str, reason: FailureReason = FailureReason.UNSPECIFIED
    ) -> ShardFailure:
        return ShardFailure(
            Verdict.NOT_RUN, Step.VALIDATE, self._tenure.owner, message, reason=reason
        )
