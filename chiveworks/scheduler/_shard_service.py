"""Handler of shard calls during one tenure."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

from result import Err, Ok, Result

from chiveworks.base import Failure, JobId, TenantName, WorkerId
from chiveworks.membership import (
    JobRegistration,
    JobSubmission,
    JobTransfer,
    JobView,
    OverrideResolution,
    OverrideView,
    ShardFailure,
    ShardView,
)
from chiveworks.placement import Quarantine
from chiveworks.scheduler._job_registrar import JobRegistrar
from chiveworks.scheduler._override_resolver import OverrideResolver
from chiveworks.scheduler._shard_context import ShardContext
from chiveworks.scheduler._shard_lost_error import ShardLostError
from chiveworks.scheduler._shard_views import describe_shard

_Response = TypeVar('_Response')


class ShardService:
    """Implements `membership.ShardHandler` for the shard's owner."""

    def __init__(
        self,
        context: ShardContext,
        registrar: JobRegistrar,
        resolver: OverrideResolver,
        quarantine: Quarantine,
        list_workers: Callable[[], tuple[WorkerId, ...]],
    ) -> None:
        self._context = context
        self._registrar = registrar
        self._resolver = resolver
        self._quarantine = quarantine
        self._list_workers = list_workers

    async def register(
        self, submission: JobSubmission
    ) -> Result[JobRegistration, Failure]:
        """Registers a job."""
        return await self._registrar.register(submission)

    async def cancel(self, job_id: JobId) -> Result[JobView, Failure]:
        """Cancels a job."""
        return await self._registrar.cancel(job_id)

    async def transfer(self, transfer: JobTransfer) -> Result[JobView, Failure]:
        """Takes over a job from another zone."""
        return await self._registrar.transfer(transfer)

    async def describe_job(self, job_id: JobId) -> Result[JobView, Failure]:
        """Describes a job of this shard."""
        job = self._context.table.jobs.get(job_id)
        if job is None:
            return Err(ShardFailure.not_owner(self._context.tenure.owner))
        return await self._once_durable(job.view())

    async def list_jobs(
        self, tenant: TenantName
    ) -> Result[tuple[JobView, ...], Failure]:
        """Lists a tenant's jobs in this shard."""
        jobs = self._context.table.jobs.values()
        views = tuple(job.view() for job in jobs if job.tenant == tenant)
        return await self._once_durable(views)

    async def _once_durable(self, response: _Response) -> Result[_Response, Failure]:
        """Returns the response once the state it shows is durable for a successor."""
        try:
            await asyncio.shield(self._context.committer.barrier())
        except ShardLostError:
            return Err(ShardFailure.not_owner(self._context.tenure.owner))
        return Ok(response)

    async def resolve_override(
        self, resolution: OverrideResolution
    ) -> Result[OverrideView, Failure]:
        """Adopts or reverts a manual override."""
        return await self._resolver.resolve(resolution)

    async def describe_shard(self) -> Result[ShardView, Failure]:
        """Describes the shard."""
        return Ok(
            describe_shard(
                self._context.tenure,
                self._context.table,
                len(self._list_workers()),
                self._quarantine.quarantined(),
                is_out_of_service=not self._context.replica.is_in_service(
                    self._context.tenure.zone
                ),
                now=self._context.clock.now(),
            )
        )
