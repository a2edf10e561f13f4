"""Reasons other than a conflict for which the store refuses a write."""

from enum import Enum


class Rejection(str, Enum):
    """Why a write was refused. A refused write has no effect."""

    TOO_LARGE = 'value exceeds 1 MB'
    UNKNOWN_LEASE = 'unknown lease'
