"""Kinds of manual overrides."""

from enum import Enum


class OverrideKind(str, Enum):
    """Kind of change that somebody made manually on the platform."""

    #: A task was stopped.
    STOPPED = 'stopped'
    #: A task runs on a worker to which it was not assigned.
    MOVED = 'moved'
    #: The resources of a running task were changed.
    RESIZED = 'resized'
    #: A worker runs a task that belongs to no job of its zone.
    UNCLAIMED = 'unclaimed'
