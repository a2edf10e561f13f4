"""Client of the platform's instance list over HTTP, with JSON bodies."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from aiohttp import ClientSession
from result import Err, Ok, Result

from chiveworks.base import EntryName, Failure, RackName, Resources, Step, ZoneName
from chiveworks.base._http_client import HttpClient
from chiveworks.base._http_response import HttpResponse
from chiveworks.instances._instance import Instance
from chiveworks.instances._role import InstanceRole
from chiveworks.instances._snapshot import InstanceSnapshot
from chiveworks.instances._state import InstanceState

_OK = 200
_NO_CONTENT = 204
_MILLISECOND = timedelta(milliseconds=1)
_DECODE_ERRORS = (KeyError, TypeError, ValueError)


@dataclass(frozen=True, slots=True)
class HttpInstanceList:
    """Implementation of `InstanceList` over HTTP.

    Attributes:
        session: HTTP session; the caller closes it.
        base_url: Base URL of the instance list.
        timeout: Time limit of a registration, and of a poll beyond its wait.
        connect_timeout: Time limit for establishing a connection.
    """

    session: ClientSession
    base_url: str
    timeout: timedelta = timedelta(seconds=1)
    connect_timeout: timedelta = timedelta(milliseconds=500)

    async def poll(
        self, after_revision: int, wait: timedelta
    ) -> Result[InstanceSnapshot | None, Failure]:
        """Waits up to `wait` for a list newer than `after_revision`."""
        query = {'after': str(after_revision), 'wait_ms': str(wait // _MILLISECOND)}
        client = self._client()
        outcome = await client.call(
            'GET',
            '/v1/instances',
            Step.RESOLVE,
            query=query,
            timeout=wait + self.timeout,
            writes=False,
        )
        if isinstance(outcome, Err):
            return outcome
        if outcome.ok_value.status == _NO_CONTENT:
            return Ok(None)
        try:
            snapshot = _decode(outcome.ok_value)
        except _DECODE_ERRORS:
            return Err(client.unexpected(outcome.ok_value, Step.RESOLVE, writes=False))
        return Ok(None if snapshot.revision == after_revision else snapshot)

    async def register(self, instance: Instance) -> Result[None, Failure]:
        """Adds or replaces an instance."""
        client = self._client()
        outcome = await client.call(
            'PUT',
            f'/v1/instances/{instance.instance_id}',
            Step.REGISTER,
            body=json.dumps(_encode(instance)).encode(),
        )
        if isinstance(outcome, Err):
            return outcome
        if outcome.ok_value.status == _OK:
            return Ok(None)
        return Err(client.unexpected(outcome.ok_value, Step.REGISTER, writes=True))

    def _client(self) -> HttpClient:
        return HttpClient(
            self.session, self.base_url, self.timeout, self.connect_timeout
        )


def _encode(instance: Instance) -> dict[str, object]:
    return {
        'id': instance.instance_id,
        'role': instance.role.value,
        'zone': instance.zone,
        'rack': instance.rack,
        'state': instance.state.value,
        'control_url': instance.control_url,
        'serve_url': instance.serve_url,
        'peer_address': instance.peer_address,
        'services': instance.services,
        'cpu_millicores': instance.capacity.cpu_millicores,
        'memory_bytes': instance.capacity.memory_bytes,
        'accelerators': instance.capacity.accelerators,
        'slots': instance.slots,
        'connections': instance.connections,
    }


def _decode(response: HttpResponse) -> InstanceSnapshot:
    if response.status != _OK:
        raise ValueError(response.status)
    fields = json.loads(response.body)
    instances = tuple(_decode_instance(listed) for listed in fields['instances'])
    return InstanceSnapshot(int(fields['revision']), instances)


def _decode_instance(fields: Mapping[str, Any]) -> Instance:
    return Instance(
        instance_id=fields['id'],
        role=InstanceRole(fields['role']),
        zone=ZoneName(fields['zone']),
        rack=RackName(fields.get('rack', '')),
        state=InstanceState(fields['state']),
        control_url=fields.get('control_url', ''),
        serve_url=fields.get('serve_url', ''),
        peer_address=fields.get('peer_address', ''),
        services=tuple(EntryName(name) for name in fields.get('services', ())),
        capacity=Resources(
            fields.get('cpu_millicores', 0),
            fields.get('memory_bytes', 0),
            fields.get('accelerators', 0),
        ),
        slots=fields.get('slots', 0),
        connections=fields.get('connections', 0),
    )
