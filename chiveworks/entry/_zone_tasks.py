"""Tasks that still run in a zone that was taken out of service."""

from pydantic import JsonValue, TypeAdapter
from result import Err

from chiveworks.base import ZoneName
from chiveworks.membership import ShardClient, TaskView

_TASKS_ADAPTER = TypeAdapter(tuple[TaskView, ...])


async def remaining_tasks(shards: ShardClient, zone: ZoneName) -> JsonValue:
    """Returns the tasks that still run in a zone that is out of service.

    Returns:
        A list of JSON objects, or None if the owner of the zone's shard cannot be
        queried.
    """
    described = await shards.of_zone(zone).describe_shard()
    if isinstance(described, Err):
        return None
    plain: JsonValue = _TASKS_ADAPTER.dump_python(
        described.ok_value.remaining_tasks, mode='json'
    )
    return plain
