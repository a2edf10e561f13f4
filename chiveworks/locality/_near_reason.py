"""Reasons of the decision about a wait for a near worker."""

import enum


class NearReason(enum.Enum):
    """Why a task waits for a near worker, or does not."""

    NEAR = 'a near worker had room'
    EXPECTED = 'a near worker is expected to have room in time'
    NO_GAIN = 'a near run is no faster'
    NO_PLACE = 'no near worker will have room'
    TOO_LATE = 'near workers are expected to have room too late'
    WAITED = 'the task has waited as long as it pays off'
    DEADLINE = 'a wait could cost the deadline'
    RETRY = 'suspects, moved tasks and tasks that avoid workers do not wait'
    LASTING = 'interrupted lasting tasks wait only briefly'
    SPREAD = 'the group already runs on several racks'
