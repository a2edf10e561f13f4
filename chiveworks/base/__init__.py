"""Types shared by all packages, such as ids, resources, clocks and failures."""

from chiveworks.base._cancellation import cancel_all
from chiveworks.base._checks import check_duration, check_positive, check_share
from chiveworks.base._clock import Clock
from chiveworks.base._failure import Failure
from chiveworks.base._ids import (
    AccountName,
    Attempt,
    BootId,
    EntryId,
    EntryName,
    Epoch,
    JobId,
    RackName,
    RequestId,
    Revision,
    StoreLeaseId,
    TaskId,
    TenantName,
    TicketMs,
    WorkerId,
    ZoneName,
)
from chiveworks.base._manual_clock import ManualClock
from chiveworks.base._registry import Registry
from chiveworks.base._resources import Resources
from chiveworks.base._service_class import ServiceClass
from chiveworks.base._step import Step
from chiveworks.base._system_clock import SystemClock
from chiveworks.base._token_bucket import TokenBucket
from chiveworks.base._verdict import Verdict

__all__ = (
    'AccountName',
    'Attempt',
    'BootId',
    'Clock',
    'EntryId',
    'EntryName',
    'Epoch',
    'Failure',
    'JobId',
    'ManualClock',
    'RackName',
    'Registry',
    'RequestId',
    'Resources',
    'Revision',
    'ServiceClass',
    'Step',
    'StoreLeaseId',
    'SystemClock',
    'TaskId',
    'TenantName',
    'TicketMs',
    'TokenBucket',
    'Verdict',
    'WorkerId',
    'ZoneName',
    'cancel_all',
    'check_duration',
    'check_positive',
    'check_share',
)
