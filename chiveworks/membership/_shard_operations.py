"""All shard operations with their RPCs and conversions."""

from typing import Any

from chiveworks.base import EntryName, JobId, TenantName
from chiveworks.membership import peer_pb2
from chiveworks.membership._job_registration import JobRegistration
from chiveworks.membership._job_submission import JobSubmission
from chiveworks.membership._job_transfer import JobTransfer
from chiveworks.membership._job_view import JobView
from chiveworks.membership._override_resolution import OverrideResolution
from chiveworks.membership._override_view import OverrideView
from chiveworks.membership._shard_operation import ShardOperation
from chiveworks.membership._shard_view import ShardView
from chiveworks.membership._wire_jobs import job_from_wire, job_to_wire
from chiveworks.membership._wire_shards import (
    OVERRIDE_ACTIONS,
    override_from_wire,
    override_to_wire,
    shard_from_wire,
    shard_to_wire,
)


def _submission_to_wire(submission: JobSubmission) -> Any:
    return peer_pb2.RegisterRequest(
        tenant=submission.tenant,
        key=submission.key,
        entry=submission.entry,
        payloads=submission.payloads,
    )


def _submission_from_wire(message: Any) -> JobSubmission:
    return JobSubmission(
        tenant=TenantName(message.tenant),
        key=message.key,
        entry=EntryName(message.entry),
        payloads=tuple(message.payloads),
    )


def _registration_to_wire(registration: JobRegistration) -> Any:
    return peer_pb2.RegisterReply(
        job=job_to_wire(registration.job), created=registration.created
    )


def _registration_from_wire(message: Any) -> JobRegistration:
    return JobRegistration(job_from_wire(message.job), message.created)


def _job_id_to_wire(job_id: JobId) -> Any:
    return peer_pb2.JobRequest(job_id=job_id)


def _job_id_from_wire(message: Any) -> JobId:
    return JobId(message.job_id)


def _job_reply_to_wire(job: JobView) -> Any:
    return peer_pb2.JobReply(job=job_to_wire(job))


def _job_reply_from_wire(message: Any) -> JobView:
    return job_from_wire(message.job)


def _resolution_to_wire(resolution: OverrideResolution) -> Any:
    return peer_pb2.ResolveOverrideRequest(
        override_id=resolution.override_id,
        action=OVERRIDE_ACTIONS.encode(resolution.action),
        author=resolution.author,
    )


def _resolution_from_wire(message: Any) -> OverrideResolution:
    return OverrideResolution(
        override_id=message.override_id,
        action=OVERRIDE_ACTIONS.decode(message.action),
        author=message.author,
    )


REGISTER = ShardOperation[JobSubmission, JobRegistration](
    method='Register',
    request_to_wire=_submission_to_wire,
    request_from_wire=_submission_from_wire,
    reply_to_wire=_registration_to_wire,
    reply_from_wire=_registration_from_wire,
    reply_type=peer_pb2.RegisterReply,
    invoke=lambda shard, request: shard.register(request),
)
CANCEL = ShardOperation[JobId, JobView](
    method='Cancel',
    request_to_wire=_job_id_to_wire,
    request_from_wire=_job_id_from_wire,
    reply_to_wire=_job_reply_to_wire,
    reply_from_wire=_job_reply_from_wire,
    reply_type=peer_pb2.JobReply,
    invoke=lambda shard, request: shard.cancel(request),
)
TRANSFER = ShardOperation[JobTransfer, JobView](
    method='Transfer',
    request_to_wire=lambda transfer: peer_pb2.TransferRequest(
        job_id=transfer.job_id, generation=transfer.generation
    ),
    request_from_wire=lambda message: JobTransfer(
        JobId(message.job_id), message.generation
    ),
    reply_to_wire=_job_reply_to_wire,
    reply_from_wire=_job_reply_from_wire,
    reply_type=peer_pb2.JobReply,
    invoke=lambda shard, request: shard.transfer(request),
)
DESCRIBE_JOB = ShardOperation[JobId, JobView](
    method='DescribeJob',
    request_to_wire=_job_id_to_wire,
    request_from_wire=_job_id_from_wire,
    reply_to_wire=_job_reply_to_wire,
    reply_from_wire=_job_reply_from_wire,
    reply_type=peer_pb2.JobReply,
    invoke=lambda shard, request: shard.describe_job(request),
)
LIST_JOBS = ShardOperation[TenantName, tuple[JobView, ...]](
    method='ListJobs',
    request_to_wire=lambda tenant: peer_pb2.ListJobsRequest(tenant=tenant),
    request_from_wire=lambda message: TenantName(message.tenant),
    reply_to_wire=lambda jobs: peer_pb2.ListJobsReply(jobs=map(job_to_wire, jobs)),
    reply_from_wire=lambda message: tuple(map(job_from_wire, message.jobs)),
    reply_type=peer_pb2.ListJobsReply,
    invoke=lambda shard, request: shard.list_jobs(request),
)
RESOLVE_OVERRIDE = ShardOperation[OverrideResolution, OverrideView](
    method='ResolveOverride',
    request_to_wire=_resolution_to_wire,
    request_from_wire=_resolution_from_wire,
    reply_to_wire=lambda override: peer_pb2.ResolveOverrideReply(
        override=override_to_wire(override)
    ),
    reply_from_wire=lambda message: override_from_wire(message.override),
    reply_type=peer_pb2.ResolveOverrideReply,
    invoke=lambda shard, request: shard.resolve_override(request),
)
DESCRIBE_SHARD = ShardOperation[None, ShardView](
    method='DescribeShard',
    request_to_wire=lambda _: peer_pb2.DescribeShardRequest(),
    request_from_wire=lambda _: None,
    reply_to_wire=lambda shard: peer_pb2.DescribeShardReply(shard=shard_to_wire(shard)),
    reply_from_wire=lambda message: shard_from_wire(message.shard),
    reply_type=peer_pb2.DescribeShardReply,
    invoke=lambda shard, _: shard.describe_shard(),
)

ALL_OPERATIONS: tuple[ShardOperation[Any, Any], ...] = (
    REGISTER,
    CANCEL,
    TRANSFER,
    DESCRIBE_JOB,
    LIST_JOBS,
    RESOLVE_OVERRIDE,
    DESCRIBE_SHARD,
)
