"""Class of a catalogue entry."""

from enum import Enum


class ServiceClass(str, Enum):
    """Whether an entry is a latency-critical service or batch work."""

    LATENCY_CRITICAL = 'latency-critical'
    BATCH = 'batch'
