"""Connections of an entry process to the platform."""

from contextlib import AsyncExitStack
from dataclasses import dataclass
from datetime import timedelta

from aiohttp import ClientSession, TCPConnector

from chiveworks.base import Clock
from chiveworks.catalogue import CatalogueEditor, CatalogueReplica
from chiveworks.entry._metered_store import MeteredStore
from chiveworks.instances import HttpInstanceList, Instance
from chiveworks.settings import Settings
from chiveworks.store import HttpStore, Store
from chiveworks.telemetry import Metrics
from chiveworks.workers import HttpWorkerControl, WorkerControl


@dataclass(frozen=True, slots=True)
class Platform:
    """The platform's services and this process's copy of the configuration."""

    store: Store
    instances: HttpInstanceList
    replica: CatalogueReplica
    editor: CatalogueEditor
    worker_session: ClientSession

    def connect_worker(self, instance: Instance) -> WorkerControl:
        """Opens the control interface of a worker."""
        return HttpWorkerControl(self.worker_session, instance.control_url)


async def open_platform(
    settings: Settings, clock: Clock, metrics: Metrics, stack: AsyncExitStack
) -> Platform:
    """Opens the sessions; `stack` closes them."""
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
    # The number of peers bounds the connections; a wait for a pooled one would
    # count against the time limit of a call.
    return ClientSession(connector=TCPConnector(limit=0))
