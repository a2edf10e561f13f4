"""HTTP interface and startup of an entry process."""

from chiveworks.entry._drain import DrainState, run_server
from chiveworks.entry._entry_process import run_entry
from chiveworks.entry._garbage_collector import tune_garbage_collector
from chiveworks.entry._rejection import Rejection
from chiveworks.entry._request_claims import RequestClaims
from chiveworks.entry._request_record import RequestClaim, RequestRecord
from chiveworks.entry._service_catalogue import ServiceCatalogue, ServiceEntry
from chiveworks.entry._service_routes import ServiceRoutes, add_service_routes
from chiveworks.entry._service_settings import ServiceSettings

__all__ = (
    'DrainState',
    'Rejection',
    'RequestClaim',
    'RequestClaims',
    'RequestRecord',
    'ServiceCatalogue',
    'ServiceEntry',
    'ServiceRoutes',
    'ServiceSettings',
    'add_service_routes',
    'run_entry',
    'run_server',
    'tune_garbage_collector',
)
