"""Delay scheduling: how long a wait for a worker near data or group pays off."""

from chiveworks.locality._lateness_meter import LatenessMeter
from chiveworks.locality._near_decision import NearDecision
from chiveworks.locality._near_place import NearPlace
from chiveworks.locality._near_reason import NearReason
from chiveworks.locality._near_request import NearRequest
from chiveworks.locality._near_slot import NearSlot
from chiveworks.locality._near_slots import NearSlots
from chiveworks.locality._near_wait import MAX_FACTOR, REVIEW_INTERVAL, NearWait
from chiveworks.locality._observed_run import ObservedRun
from chiveworks.locality._release import Release

__all__ = (
    'MAX_FACTOR',
    'REVIEW_INTERVAL',
    'LatenessMeter',
    'NearDecision',
    'NearPlace',
    'NearReason',
    'NearRequest',
    'NearSlot',
    'NearSlots',
    'NearWait',
    'ObservedRun',
    'Release',
)
