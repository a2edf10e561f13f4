"""Identifier types, distinct so that the type checker detects swapped arguments."""

from typing import NewType

WorkerId = NewType('WorkerId', str)
#: Id of an entry process.
EntryId = NewType('EntryId', str)
ZoneName = NewType('ZoneName', str)
RackName = NewType('RackName', str)
TenantName = NewType('TenantName', str)
#: Name of a client account, on whose behalf jobs run; empty for jobs without one.
AccountName = NewType('AccountName', str)
#: Name of a catalogue entry, which describes a service or a kind of batch job.
EntryName = NewType('EntryName', str)
JobId = NewType('JobId', str)
TaskId = NewType('TaskId', str)
RequestId = NewType('RequestId', str)
#: Id that changes whenever a worker process restarts.
BootId = NewType('BootId', str)
StoreLeaseId = NewType('StoreLeaseId', int)

#: Position in the store's history; 0 means "no such key".
Revision = NewType('Revision', int)
#: Fencing token of a shard owner; a later owner has a higher one.
Epoch = NewType('Epoch', int)
#: Number of an attempt to run a task, from 1.
Attempt = NewType('Attempt', int)
#: A worker's monotonic clock in milliseconds, sent with commands to that worker.
TicketMs = NewType('TicketMs', int)
