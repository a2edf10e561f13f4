"""Kinds of manual overrides."""

from enum import Enum


class OverrideKind(str, Enum):
    """Kind of change that somebody made manually on the platform."""

    STOPPED = 'stopped'
    MOVED = 'moved'
    RESIZED = 'resized'
    UNCLAIMED = 'unclaimed'
