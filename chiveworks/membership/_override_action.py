"""What an operator does about a manual override."""

from enum import Enum


class OverrideAction(str, Enum):
    """Whether an override becomes part of the catalogue or is undone."""

    ADOPT = 'adopt'
    REVERT = 'revert'
