"""Placement of tasks: policies, estimators, queue and protection of services."""

from chiveworks.placement._bound import Bound
from chiveworks.placement._candidate import Candidate
from chiveworks.placement._candidate_index import CandidateIndex
from chiveworks.placement._demand import Demand
from chiveworks.placement._first_fit import FirstFit
from chiveworks.placement._interference_aware import InterferenceAware
from chiveworks.placement._interference_learner import InterferenceLearner
from chiveworks.placement._orders import DeadlineFair, Fifo
from chiveworks.placement._policy import PlacementPolicy, placement_policies
from chiveworks.placement._pressure import Neighbour, WorkerPressure
from chiveworks.placement._protection_action import ActionType, ProtectionAction
from chiveworks.placement._protection_policy import ProtectionPolicy
from chiveworks.placement._protection_settings import ProtectionSettings
from chiveworks.placement._quarantine import Quarantine
from chiveworks.placement._queue import QueueOrder, TaskQueue, queue_orders
from chiveworks.placement._size_estimator import SizeEstimator
from chiveworks.placement._size_learner import SizeLearner
from chiveworks.placement._size_sample import SizeSample
from chiveworks.placement._slowdown_estimator import SlowdownEstimator
from chiveworks.placement._slowdown_sample import SlowdownSample
from chiveworks.placement._weights import PlacementWeights

__all__ = (
    'ActionType',
    'Bound',
    'Candidate',
    'CandidateIndex',
    'DeadlineFair',
    'Demand',
    'Fifo',
    'FirstFit',
    'InterferenceAware',
    'InterferenceLearner',
    'Neighbour',
    'PlacementPolicy',
    'PlacementWeights',
    'ProtectionAction',
    'ProtectionPolicy',
    'ProtectionSettings',
    'Quarantine',
    'QueueOrder',
    'SizeEstimator',
    'SizeLearner',
    'SizeSample',
    'SlowdownEstimator',
    'SlowdownSample',
    'TaskQueue',
    'WorkerPressure',
    'placement_policies',
    'queue_orders',
)
