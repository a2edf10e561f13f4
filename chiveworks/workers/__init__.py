"""Control interface of the platform's workers."""

from chiveworks.workers._http_worker_control import HttpWorkerControl
from chiveworks.workers._refusal import Refusal, RefusalReason
from chiveworks.workers._renewal import Renewal
from chiveworks.workers._reported_state import ReportedState
from chiveworks.workers._start_order import StartOrder
from chiveworks.workers._stop_cause import StopCause
from chiveworks.workers._task_report import TaskReport
from chiveworks.workers._usage_sample import UsageSample
from chiveworks.workers._worker_control import WorkerControl
from chiveworks.workers._worker_report import WorkerReport

__all__ = (
    'HttpWorkerControl',
    'Refusal',
    'RefusalReason',
    'Renewal',
    'ReportedState',
    'StartOrder',
    'StopCause',
    'TaskReport',
    'UsageSample',
    'WorkerControl',
    'WorkerReport',
)
