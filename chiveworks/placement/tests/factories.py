"""Factories for the placement tests."""

from datetime import timedelta

from chiveworks.base import (
    RackName,
    Resources,
    ServiceClass,
    TaskId,
    TenantName,
    WorkerId,
)
from chiveworks.placement import Candidate, Demand

GIB = 2**30
WORKER = Resources(16000, 60 * GIB, 0)


def demand(name='t', cpu=1000, memory=GIB, accelerators=0, **fields):
    settings = {
        'kind': 'crunch',
        'tenant': TenantName('team'),
        'arrival': timedelta(0),
        **fields,
    }
    amount = Resources(cpu, memory, accelerators)
    return Demand(task_id=TaskId(name), resources=amount, **settings)


def service(name='s', kind='quotes', **fields):
    return demand(
        name, kind=kind, service_class=ServiceClass.LATENCY_CRITICAL, **fields
    )


def worker(name='w', free=WORKER, **fields):
    settings = {'rack': RackName('r'), 'capacity': WORKER, **fields}
    return Candidate(worker_id=WorkerId(name), free=free, **settings)
