"""Reasons for which the store refuses a write, besides a conflict."""

from enum import Enum


class Rejection(str, Enum):
    """Why a write was refused; it had no effect."""

    TOO_LARGE = 'value exceeds 1 MB'
    UNKNOWN_LEASE = 'unknown lease'
