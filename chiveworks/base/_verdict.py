"""What is known of an operation that failed."""

from enum import Enum


class Verdict(str, Enum):
    """Whether a failed operation may have taken effect."""

    #: It certainly had no effect.
    NOT_RUN = 'not_run'
    #: It may or may not have had an effect.
    OUTCOME_UNKNOWN = 'outcome_unknown'
