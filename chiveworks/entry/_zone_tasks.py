"""Tasks that keep a zone busy after operators have taken it out."""

from pydantic import JsonValue, TypeAdapter
from result import Err

from chiveworks.base import ZoneName
from chiveworks.membership import ShardClient, TaskView

_TASKS = TypeAdapter(tuple[TaskView, ...])


async def remaining_tasks(shards: ShardClient, zone: ZoneName) -> JsonValue:
    """Returns the tasks that still run in a zone that is out.

    Returns:
        A list of JSON objects, or None when the zone's shard does not answer.
    """
    described = await shards.of_zone(zone).describe_shard()
    if isinstance(described, Err):
        return None
    plain: JsonValue = _TASKS.dump_python(
        described.ok_value.remaining_tasks, mode='json'
    )
    return plain
