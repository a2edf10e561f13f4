"""Interface of the metadata store, with leader election, fencing and replicas."""

from chiveworks.metastore._candidacy import Candidacy
from chiveworks.metastore._election import Election
from chiveworks.metastore._keys import (
    CAPACITY_KEY,
    HANDOVER_KEY,
    JOB_PREFIX,
    LEADER_KEY,
    LEADER_PREFIX,
    LEASES_KEY,
    PENDING_KEY,
    PRESSURE_KEY,
    PROGRESS_PREFIX,
    job_key,
    progress_key,
)
from chiveworks.metastore._last_writer import LastWriter
from chiveworks.metastore._lease_thread import LeaseThread
from chiveworks.metastore._metadata_store import (
    Committed,
    Conflict,
    Listing,
    MetadataStore,
    StoreItem,
    Transaction,
    WatchBatch,
)
from chiveworks.metastore._replica import WATCH_WAIT, Replica
from chiveworks.metastore._term import Term, TermLostError

__all__ = (
    'CAPACITY_KEY',
    'HANDOVER_KEY',
    'JOB_PREFIX',
    'LEADER_KEY',
    'LEADER_PREFIX',
    'LEASES_KEY',
    'PENDING_KEY',
    'PRESSURE_KEY',
    'PROGRESS_PREFIX',
    'WATCH_WAIT',
    'Candidacy',
    'Committed',
    'Conflict',
    'Election',
    'LastWriter',
    'LeaseThread',
    'Listing',
    'MetadataStore',
    'Replica',
    'StoreItem',
    'Term',
    'TermLostError',
    'Transaction',
    'WatchBatch',
    'job_key',
    'progress_key',
)
