"""Admission control: concurrency and rate limits, and fairness among tenants."""

from chiveworks.admission._adaptive_limiter import AdaptiveLimiter
from chiveworks.admission._admission import Admission
from chiveworks.admission._admission_request import AdmissionRequest
from chiveworks.admission._fair_queue import FairQueue
from chiveworks.admission._fixed_limiter import FixedLimiter
from chiveworks.admission._limiter import LIMITERS, Limiter
from chiveworks.admission._min_latency_estimate import MinLatencyEstimate
from chiveworks.admission._permit import Permit
from chiveworks.admission._settings import AdmissionSettings
from chiveworks.admission._tenant_limit_failure import TenantLimitFailure

__all__ = (
    'AdaptiveLimiter',
    'Admission',
    'AdmissionRequest',
    'AdmissionSettings',
    'FairQueue',
    'FixedLimiter',
    'LIMITERS',
    'Limiter',
    'MinLatencyEstimate',
    'Permit',
    'TenantLimitFailure',
)
