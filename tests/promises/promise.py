"""The promises that the checks cover."""

from enum import Enum


class Promise(str, Enum):
    """Promises 1 to 10 and the failure requirements of design.md, section 1.

    The values are the labels of the report.
    """

    CAPACITY = '1 no instance is overcommitted'
    ONCE_AT_A_TIME = '2 never in two places at once'
    EVICTION = '3 evicted work resumes exactly once'
    ZONE_OUT = '4 no start 3 s after a zone is out'
    OWN_ANSWER = '5 own and complete answer'
    NOT_RUN = '6 "not run" is true'
    AT_MOST_ONCE = '7 non-idempotent at most once'
    LEAVING = '8 leaving endpoint gets no work'
    GRACEFUL_STOP = '9 planned stop cuts nothing off'
    CONFIGURATION = '10 configuration never reverts'
    CANCELLATION = '- cancelled tasks never start'
    UNSCHEDULABLE = '- impossible jobs are reported in 10 s'
    FAILING_WORKERS = '- failing workers are quarantined'
    STORE_OUTAGE = '- store away for 10 minutes'
