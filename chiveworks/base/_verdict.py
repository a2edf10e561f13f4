"""What is known about the effect of a failed operation."""

from enum import Enum


class Verdict(str, Enum):
    """Whether a failed operation may have taken effect."""

    #: It is known to have had no effect.
    NOT_RUN = 'not_run'
    #: It may or may not have had an effect.
    OUTCOME_UNKNOWN = 'outcome_unknown'
