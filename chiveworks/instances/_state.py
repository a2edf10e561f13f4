"""State of an instance in the platform's list."""

from enum import Enum


class InstanceState(str, Enum):
    """Whether an instance may be used. The list lags behind the actual state."""

    LIVE = 'live'
    LEAVING = 'leaving'
