"""Stand-in for the platform's workers."""

from standins.workers._app import create_app
from standins.workers._memory_worker_control import MemoryWorkerControl
from standins.workers._spec import WorkerSpec
from standins.workers._worker import SimulatedWorker

__all__ = ('MemoryWorkerControl', 'SimulatedWorker', 'WorkerSpec', 'create_app')
