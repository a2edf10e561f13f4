"""Records the response times of services."""

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from chiveworks.base import Clock, EntryName, ServiceClass, TenantName
from chiveworks.catalogue import CatalogueReplica
from chiveworks.entry._service_monitor import ServiceMonitor
from chiveworks.telemetry import Metrics


def record_latencies(
    replica: CatalogueReplica, monitor: ServiceMonitor, metrics: Metrics, clock: Clock
) -> Middleware:
    """Returns a middleware that times requests to services in the catalogue."""

    @web.middleware
    async def record(request: web.Request, handler: Handler) -> web.StreamResponse:
        service = request.match_info.get('service')
        entry = replica.entry(EntryName(service)) if service else None
        if entry is None:
            return await handler(request)
        began = clock.monotonic()
        try:
            return await handler(request)
        finally:
            latency = clock.monotonic() - began
            tenant = TenantName(entry.tenant)
            metrics.record_latency(tenant, ServiceClass(entry.service_class), latency)
            monitor.record(entry.name, latency)

    return record
