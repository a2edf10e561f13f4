"""Interface of a shard's operations."""

from typing import Protocol

from result import Result

from chiveworks.base import Failure, JobId, TenantName
from chiveworks.membership._job_registration import JobRegistration
from chiveworks.membership._job_submission import JobSubmission
from chiveworks.membership._job_transfer import JobTransfer
from chiveworks.membership._job_view import JobView
from chiveworks.membership._override_resolution import OverrideResolution
from chiveworks.membership._override_view import OverrideView
from chiveworks.membership._shard_view import ShardView


class ShardHandler(Protocol):
    """Operations of a shard, implemented by its owner.

    An implementation returns `ShardFailure` where the caller needs a reason. If the
    shard is lost during a call, `describe_job` and `list_jobs` fail with
    `ShardFailure.not_owner`, and a write in progress has an unknown outcome.
    """

    async def register(
        self, submission: JobSubmission
    ) -> Result[JobRegistration, Failure]:
        """Registers a job; returns once its record and journal entry are written."""

    async def cancel(self, job_id: JobId) -> Result[JobView, Failure]:
        """Cancels a job; none of its tasks starts after this returns."""

    async def transfer(self, transfer: JobTransfer) -> Result[JobView, Failure]:
        """Takes over a job; fails with `CONFLICT` if its home has moved since."""

    async def describe_job(self, job_id: JobId) -> Result[JobView, Failure]:
        """Describes a job of this shard."""

    async def list_jobs(
        self, tenant: TenantName
    ) -> Result[tuple[JobView, ...], Failure]:
        """Lists the tenant's jobs in this shard."""

    async def resolve_override(
        self, resolution: OverrideResolution
    ) -> Result[OverrideView, Failure]:
        """Adopts or reverts a manual override."""

    async def describe_shard(self) -> Result[ShardView, Failure]:
        """Describes the state of the shard."""
