"""Ways to resolve a manual override."""

from enum import Enum


class OverrideAction(str, Enum):
    """Whether a manual change is kept (adopted) or undone (reverted)."""

    ADOPT = 'adopt'
    REVERT = 'revert'
