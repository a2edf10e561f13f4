"""State of an instance in the platform's list."""

from enum import Enum


class InstanceState(str, Enum):
    """Whether an instance is to be used; the list lags behind reality."""

    LIVE = 'live'
    LEAVING = 'leaving'
