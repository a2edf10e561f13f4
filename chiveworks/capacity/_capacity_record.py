"""Stored form of the capacity of all services."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

from chiveworks.base import Resources
from chiveworks.capacity._service_capacity import ServiceCapacity
from chiveworks.capacity._worker_shape import WorkerShape

#: Maximum size of a record, which every process reads when it changes.
RECORD_BYTES: Final = 16_384
#: Maximum number of services in a record; others are unknown to its readers.
SERVICE_LIMIT: Final = 32
#: Maximum number of shapes of a service.
SHAPE_LIMIT: Final = 32
#: The same in a record that would exceed `RECORD_BYTES`.
REDUCED_SHAPE_LIMIT: Final = 4
#: Numbers in a record are below this one.
_NUMBER_LIMIT: Final = 2**53
_FORM: Final = 1
_DECODE_ERRORS: Final = (TypeError, LookupError, AttributeError, RecursionError)


@dataclass(frozen=True, slots=True)
class CapacityRecord:
    """Capacity of the services as a leader has seen it.

    Attributes:
        leader_value: Content of the leader key in the term of the leader.
        services: Capacity by name of the service. A service that is missing is unknown.
    """

    leader_value: str
    services: Mapping[str, ServiceCapacity] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Encodes the record, with fewer details if it would be too large."""
        names = sorted(self.services)[:SERVICE_LIMIT]
        bounded = {name: self.services[name].bounded(SHAPE_LIMIT) for name in names}
        encoded = _encode(self.leader_value, bounded)
        if len(encoded) > RECORD_BYTES:
            reduced = {
                name: service.without_labels().bounded(REDUCED_SHAPE_LIMIT)
                for name, service in bounded.items()
            }
            encoded = _encode(self.leader_value, reduced)
        if len(encoded) > RECORD_BYTES:
            encoded = _encode(self.leader_value, {})
        return encoded


def decode_capacity(stored: str) -> CapacityRecord:
    """Decodes a record.

    Raises:
        ValueError: The text is not a record, or one of another form.
    """
    try:
        return _decode(json.loads(stored))
    except _DECODE_ERRORS as error:
        raise ValueError(f'the capacity cannot be read: {error!r}') from error


def _encode(leader_value: str, services: Mapping[str, ServiceCapacity]) -> bytes:
    fields = {
        'form': _FORM,
        'leader': leader_value,
        'services': {
            name: sorted(
                _encode_shape(shape, count) for shape, count in service.counts.items()
            )
            for name, service in services.items()
        },
    }
    return json.dumps(fields).encode()


def _encode_shape(shape: WorkerShape, count: int) -> list[Any]:
    capacity = shape.capacity
    numbers = [capacity.cpu_millicores, capacity.memory_bytes, capacity.accelerators]
    return [*numbers, count, sorted(shape.labels)]


def _decode(fields: Any) -> CapacityRecord:
    if fields['form'] != _FORM:
        raise ValueError('the capacity has another form')
    return CapacityRecord(
        _check_text(fields['leader']),
        {
            name: ServiceCapacity(dict(map(_decode_shape, rows)))
            for name, rows in fields['services'].items()
        },
    )


def _decode_shape(row: Any) -> tuple[WorkerShape, int]:
    cpu_millicores, memory_bytes, accelerators, count = map(_check_whole, row[:4])
    labels = frozenset(map(_check_text, row[4]))
    capacity = Resources(cpu_millicores, memory_bytes, accelerators)
    return WorkerShape(capacity, labels), count


def _check_whole(number: object) -> int:
    # A bool is an int too.
    whole = isinstance(number, int) and not isinstance(number, bool)
    if not whole or not 0 <= number < _NUMBER_LIMIT:  # type: ignore[operator]
        raise ValueError('a number of the capacity is not whole, or out of range')
    return number  # type: ignore[return-value]


def _check_text(text: object) -> str:
    if not isinstance(text, str):
        raise TypeError('a name in the capacity is not a text')
    return text
