"""What an instance runs."""

from enum import Enum


class InstanceRole(str, Enum):
    """Role of an instance in the platform's list."""

    WORKER = 'worker'
    ENTRY = 'entry'
