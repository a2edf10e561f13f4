"""Ways to resolve a manual override."""

from enum import Enum


class OverrideAction(str, Enum):
    """Whether an override is adopted into the catalogue or reverted."""

    ADOPT = 'adopt'
    REVERT = 'revert'
