"""Identifiers. Each is a distinct type, so that a checker finds mixed-up arguments."""

from typing import NewType

WorkerId = NewType('WorkerId', str)
EntryId = NewType('EntryId', str)
ZoneName = NewType('ZoneName', str)
RackName = NewType('RackName', str)
TenantName = NewType('TenantName', str)
EntryName = NewType('EntryName', str)
JobId = NewType('JobId', str)
TaskId = NewType('TaskId', str)
RequestId = NewType('RequestId', str)
BootId = NewType('BootId', str)
StoreLeaseId = NewType('StoreLeaseId', int)

#: Position in the store's history; 0 stands for "no such key".
Revision = NewType('Revision', int)
#: Fencing token of a shard owner; a later owner has a higher one.
Epoch = NewType('Epoch', int)
#: Number of a task's run, from 1.
Attempt = NewType('Attempt', int)
#: A worker's monotonic clock in milliseconds, quoted by commands to that worker.
TicketMs = NewType('TicketMs', int)
