"""Proxy for the shard of a zone, local or remote."""

from datetime import timedelta
from typing import TypeVar

from result import Err, Result

from chiveworks.base import Failure, JobId, TenantName, ZoneName
from chiveworks.membership._failure_reason import FailureReason
from chiveworks.membership._job_registration import JobRegistration
from chiveworks.membership._job_submission import JobSubmission
from chiveworks.membership._job_transfer import JobTransfer
from chiveworks.membership._job_view import JobView
from chiveworks.membership._local_shard import LocalShard
from chiveworks.membership._override_resolution import OverrideResolution
from chiveworks.membership._override_view import OverrideView
from chiveworks.membership._owner_table import OwnerTable
from chiveworks.membership._peer_pool import PeerPool
from chiveworks.membership._shard_failure import ShardFailure
from chiveworks.membership._shard_operation import ShardOperation
from chiveworks.membership._shard_operations import (
    CANCEL,
    DESCRIBE_JOB,
    DESCRIBE_SHARD,
    LIST_JOBS,
    REGISTER,
    RESOLVE_OVERRIDE,
    TRANSFER,
)
from chiveworks.membership._shard_view import ShardView

_Request = TypeVar('_Request')
_Reply = TypeVar('_Reply')


class ShardProxy:
    """`ShardHandler` that forwards calls to the owner of one zone's shard."""

    def __init__(
        self,
        zone: ZoneName,
        local: LocalShard,
        owners: OwnerTable,
        pool: PeerPool,
        timeout: timedelta,
    ) -> None:
        self._zone = zone
        self._local = local
        self._owners = owners
        self._pool = pool
        self._timeout = timeout

    async def register(
        self, submission: JobSubmission
    ) -> Result[JobRegistration, Failure]:
        """Registers a job."""
        return await self._call(REGISTER, submission)

    async def cancel(self, job_id: JobId) -> Result[JobView, Failure]:
        """Cancels a job."""
        return await self._call(CANCEL, job_id)

    async def transfer(self, transfer: JobTransfer) -> Result[JobView, Failure]:
        """Hands over a job whose record names the shard's zone as its home."""
        return await self._call(TRANSFER, transfer)

    async def describe_job(self, job_id: JobId) -> Result[JobView, Failure]:
        """Describes a job of the shard."""
        return await self._call(DESCRIBE_JOB, job_id)

    async def list_jobs(
        self, tenant: TenantName
    ) -> Result[tuple[JobView, ...], Failure]:
        """Lists the tenant's jobs in the shard."""
        return await self._call(LIST_JOBS, tenant)

    async def resolve_override(
        self, resolution: OverrideResolution
    ) -> Result[OverrideView, Failure]:
        """Adopts or reverts a manual override."""
        return await self._call(RESOLVE_OVERRIDE, resolution)

    async def describe_shard(self) -> Result[ShardView, Failure]:
        """Describes the state of the shard."""
        return await self._call(DESCRIBE_SHARD, None)

    async def _call(
        self, operation: ShardOperation[_Request, _Reply], request: _Request
    ) -> Result[_Reply, Failure]:
        result = await self._call_known_owner(operation, request)
        hint = _owner_address_hint(result)
        if not hint:
            return result
        return await self._call_peer(hint, operation, request)

    async def _call_known_owner(
        self, operation: ShardOperation[_Request, _Reply], request: _Request
    ) -> Result[_Reply, Failure]:
        handler = self._local.handler_of(self._zone)
        if handler is not None:
            return await operation.invoke(handler, request)
        owner = self._owners.find(self._zone)
        if owner is None:
            return Err(ShardFailure.not_owner(''))
        return await self._call_peer(owner.peer_address, operation, request)

    async def _call_peer(
        self,
        address: str,
        operation: ShardOperation[_Request, _Reply],
        request: _Request,
    ) -> Result[_Reply, Failure]:
        return await self._pool.call_shard(
            address, self._zone, operation, request, self._timeout
        )


def _owner_address_hint(result: Result[_Reply, Failure]) -> str:
    failure = result.err()
    if isinstance(failure, ShardFailure):
        if failure.reason is FailureReason.NOT_OWNER:
            return failure.owner_address
    return ''
