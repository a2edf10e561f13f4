"""Largest workers of each service, by which unservable jobs are told apart."""

from chiveworks.capacity._capacity_history import CapacityHistory
from chiveworks.capacity._capacity_record import CapacityRecord, decode_capacity
from chiveworks.capacity._service_capacity import ServiceCapacity
from chiveworks.capacity._worker_shape import WorkerShape

__all__ = (
    'CapacityHistory',
    'CapacityRecord',
    'ServiceCapacity',
    'WorkerShape',
    'decode_capacity',
)
