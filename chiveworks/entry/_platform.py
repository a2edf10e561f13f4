"""Clients of the platform's services in an entry process."""

from contextlib import AsyncExitStack
from dataclasses import dataclass
from datetime import timedelta

from aiohttp import ClientSession

from chiveworks.base import Clock
from chiveworks.base._connector import LoopConnector
from chiveworks.catalogue import CatalogueEditor, CatalogueReplica
from chiveworks.entry._metered_store import MeteredStore
from chiveworks.instances import HttpInstanceList, Instance
from chiveworks.settings import Settings
from chiveworks.store import HttpStore, Store
from chiveworks.telemetry import Metrics
from chiveworks.workers import HttpWorkerControl, WorkerControl


@dataclass(frozen=True, slots=True)
class Platform:
    """Clients of the platform and the local replica of the configuration."""

    store: Store
    instances: HttpInstanceList
    replica: CatalogueReplica
    editor: CatalogueEditor
    worker_session: ClientSession

    def connect_worker(self, instance: Instance) -> WorkerControl:
        """Returns a client of the worker's control interface."""
        return HttpWorkerControl(self.worker_session, instance.control_url)


async def open_platform(
    settings: Settings, clock: Clock, metrics: Metrics, stack: AsyncExitStack
) -> Platform:
    """Creates the clients; `stack` closes their HTTP sessions."""
    session = await stack.enter_async_context(_unlimited_session())
    worker_session = await stack.enter_async_context(_unlimited_session())
    timeout = timedelta(milliseconds=settings.store_timeout_ms)
    store = MeteredStore(
        HttpStore(session, settings.store_url, timeout=timeout), metrics
    )
    replica = CatalogueReplica()
    return Platform(
        store,
        HttpInstanceList(session, settings.instances_url),
        replica,
        CatalogueEditor(store, replica, clock),
        worker_session,
    )


def _unlimited_session() -> ClientSession:
    # The number of calls in progress already bounds the number of connections. With
    # a pool limit, the wait for a free connection would count against the call's
    # timeout.
    return ClientSession(connector=LoopConnector(limit=0))
