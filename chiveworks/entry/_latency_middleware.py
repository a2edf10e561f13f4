"""Records response times of services."""

from collections.abc import Awaitable, Callable

from aiohttp import web

from chiveworks.base import Clock, EntryName, ServiceClass, TenantName
from chiveworks.catalogue import CatalogueReplica
from chiveworks.entry._service_monitor import ServiceMonitor
from chiveworks.telemetry import Metrics

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
_Middleware = Callable[[web.Request, _Handler], Awaitable[web.StreamResponse]]


def record_latencies(
    replica: CatalogueReplica, monitor: ServiceMonitor, metrics: Metrics, clock: Clock
) -> _Middleware:
    """Returns a middleware that times requests to catalogued services."""

    @web.middleware
    async def record(request: web.Request, handler: _Handler) -> web.StreamResponse:
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
