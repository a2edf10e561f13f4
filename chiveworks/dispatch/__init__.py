"""Dispatch of tasks to workers by the current leader process."""

from chiveworks.dispatch._advice import Advice, Advisor
from chiveworks.dispatch._bounds import SchedulingBounds
from chiveworks.dispatch._leader import Leader
from chiveworks.dispatch._scheduler import Scheduler
from chiveworks.dispatch._worker_control import (
    EndKind,
    EndRow,
    OrderOutcome,
    RunRow,
    StartOrder,
    WorkerControl,
    WorkerReport,
)
from chiveworks.dispatch._worker_info import WorkerInfo

__all__ = (
    'Advice',
    'Advisor',
    'EndKind',
    'EndRow',
    'Leader',
    'OrderOutcome',
    'RunRow',
    'Scheduler',
    'SchedulingBounds',
    'StartOrder',
    'WorkerControl',
    'WorkerInfo',
    'WorkerReport',
)
