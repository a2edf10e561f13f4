"""Creates the HTTP application of an entry process."""

from collections.abc import Callable
from functools import partial

import numpy as np
from aiohttp import web

from chiveworks.admission import Admission
from chiveworks.base import Clock
from chiveworks.entry import _translate_settings as translate
from chiveworks.entry._catalogue_routes import add_catalogue_routes
from chiveworks.entry._error_middleware import convert_errors
from chiveworks.entry._header_middleware import limit_headers
from chiveworks.entry._health_routes import add_health_routes
from chiveworks.entry._job_gateway import JobGateway
from chiveworks.entry._job_routes import add_job_routes
from chiveworks.entry._latency_middleware import record_latencies
from chiveworks.entry._peer_network import PeerNetwork
from chiveworks.entry._platform import Platform
from chiveworks.entry._service_monitor import ServiceMonitor
from chiveworks.entry._service_routes import add_service_routes
from chiveworks.entry._status_routes import add_status_routes
from chiveworks.entry._zone_tasks import remaining_tasks
from chiveworks.jobs import JobStore
from chiveworks.routing import Dispatcher
from chiveworks.settings import Settings
from chiveworks.telemetry import Metrics


def create_app(
    settings: Settings,
    platform: Platform,
    network: PeerNetwork,
    dispatcher: Dispatcher,
    metrics: Metrics,
    is_ready: Callable[[], bool],
    clock: Clock,
) -> web.Application:
    """Returns the application with all routes and middleware."""
    zones = tuple(settings.zone_latencies_ms)
    monitor = ServiceMonitor(clock)
    app = web.Application(client_max_size=settings.limits.body_bytes)
    app.middlewares.append(record_latencies(platform.replica, monitor, metrics, clock))
    app.middlewares.append(convert_errors)
    app.middlewares.append(limit_headers(settings.limits.header_bytes))
    add_health_routes(app, is_ready, metrics)
    add_catalogue_routes(
        app,
        platform.editor,
        platform.replica,
        zones,
        partial(remaining_tasks, network.shards),
    )
    add_job_routes(
        app,
        JobGateway(
            settings.zone,
            zones,
            JobStore(platform.store),
            network.shards,
            platform.replica,
            np.random.default_rng(),
            clock,
        ),
    )
    add_status_routes(app, zones, network.shards, platform.replica, monitor)
    add_service_routes(
        app,
        catalogue=platform.replica,
        admission=Admission(clock, translate.to_admission(settings)),
        dispatcher=dispatcher,
        store=platform.store,
        clock=clock,
        settings=translate.to_service(settings),
    )
    return app
