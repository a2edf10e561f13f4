"""Client of the platform's instance list."""

from chiveworks.instances._http_instance_list import HttpInstanceList
from chiveworks.instances._instance import Instance
from chiveworks.instances._instance_list import InstanceList
from chiveworks.instances._role import InstanceRole
from chiveworks.instances._snapshot import InstanceSnapshot
from chiveworks.instances._state import InstanceState

__all__ = (
    'HttpInstanceList',
    'Instance',
    'InstanceList',
    'InstanceRole',
    'InstanceSnapshot',
    'InstanceState',
)
