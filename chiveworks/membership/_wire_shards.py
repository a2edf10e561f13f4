"""Conversion of shards and manual overrides to and from protobuf."""

from datetime import datetime, timedelta, timezone
from typing import Any

from chiveworks.base import EntryId, EntryName, Epoch, TaskId, WorkerId, ZoneName
from chiveworks.membership import peer_pb2
from chiveworks.membership._enum_codec import EnumCodec
from chiveworks.membership._job_count import JobCount
from chiveworks.membership._override_action import OverrideAction
from chiveworks.membership._override_kind import OverrideKind
from chiveworks.membership._override_view import OverrideView
from chiveworks.membership._shard_view import ShardView
from chiveworks.membership._task_count import TaskCount
from chiveworks.membership._wire_jobs import (
    JOB_STATES,
    TASK_STATES,
    job_from_wire,
    job_to_wire,
    task_from_wire,
    task_to_wire,
)

OVERRIDE_ACTIONS = EnumCodec(
    OverrideAction, peer_pb2.OverrideAction, 'OVERRIDE_ACTION_'
)
_OVERRIDE_KINDS = EnumCodec(OverrideKind, peer_pb2.OverrideKind, 'OVERRIDE_KIND_')
_UNIX_EPOCH = datetime(1970, 1, 1, tzinfo=timezone.utc)
_MICROSECOND = timedelta(microseconds=1)


def override_to_wire(override: OverrideView) -> Any:
    """Converts a manual override to protobuf."""
    return peer_pb2.OverrideView(
        override_id=override.override_id,
        kind=_OVERRIDE_KINDS.encode(override.kind),
        zone=override.zone,
        worker=override.worker,
        task_id=override.task_id,
        entry=override.entry,
        owner=override.owner,
        since_us=(override.since - _UNIX_EPOCH) // _MICROSECOND,
        detail=override.detail,
    )


def override_from_wire(message: Any) -> OverrideView:
    """Converts a manual override from protobuf.

    Raises:
        ValueError: The kind is unknown to this version.
    """
    return OverrideView(
        override_id=message.override_id,
        kind=_OVERRIDE_KINDS.decode(message.kind),
        zone=ZoneName(message.zone),
        worker=WorkerId(message.worker),
        task_id=TaskId(message.task_id),
        entry=EntryName(message.entry),
        owner=message.owner,
        since=_UNIX_EPOCH + message.since_us * _MICROSECOND,
        detail=message.detail,
    )


def shard_to_wire(shard: ShardView) -> Any:
    """Converts a shard's description to protobuf."""
    counts = [
        peer_pb2.TaskCount(
            state=TASK_STATES.encode(task_count.state), count=task_count.count
        )
        for task_count in shard.task_counts
    ]
    return peer_pb2.ShardView(
        zone=shard.zone,
        owner=shard.owner,
        epoch=shard.epoch,
        task_counts=counts,
        workers=shard.workers,
        quarantined_workers=shard.quarantined_workers,
        overrides=[override_to_wire(override) for override in shard.overrides],
        past_overrides=[
            override_to_wire(override) for override in shard.past_overrides
        ],
        unknown_outcomes=[job_to_wire(job) for job in shard.unknown_outcomes],
        remaining_tasks=[task_to_wire(task) for task in shard.remaining_tasks],
        job_counts=[
            peer_pb2.JobCount(
                state=JOB_STATES.encode(job_count.state), count=job_count.count
            )
            for job_count in shard.job_counts
        ],
    )


def shard_from_wire(message: Any) -> ShardView:
    """Converts a shard's description from protobuf.

    Raises:
        ValueError: A state or kind is unknown to this version.
    """
    counts = (
        TaskCount(TASK_STATES.decode(task_count.state), task_count.count)
        for task_count in message.task_counts
    )
    return ShardView(
        zone=ZoneName(message.zone),
        owner=EntryId(message.owner),
        epoch=Epoch(message.epoch),
        task_counts=tuple(counts),
        workers=message.workers,
        quarantined_workers=tuple(map(WorkerId, message.quarantined_workers)),
        overrides=tuple(map(override_from_wire, message.overrides)),
        past_overrides=tuple(map(override_from_wire, message.past_overrides)),
        unknown_outcomes=tuple(map(job_from_wire, message.unknown_outcomes)),
        remaining_tasks=tuple(map(task_from_wire, message.remaining_tasks)),
        job_counts=tuple(
            JobCount(JOB_STATES.decode(job_count.state), job_count.count)
            for job_count in message.job_counts
        ),
    )
