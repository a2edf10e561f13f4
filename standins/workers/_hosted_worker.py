"""A simulated worker that is served over HTTP."""

import asyncio
from collections import Counter
from datetime import timedelta

from aiohttp import web

from chiveworks.base import Clock
from standins.workers._faults import WorkerFaults
from standins.workers._worker import SimulatedWorker


class HostedWorker:
    """A worker with its HTTP faults and the connections that it has seen.

    Attributes:
        worker: Simulated worker.
        faults: Faults of its HTTP interface.
        request_counts: Number of runs per request id.
    """

    def __init__(self, worker: SimulatedWorker, clock: Clock) -> None:
        self.worker = worker
        self.faults = WorkerFaults()
        self.request_counts: Counter[str] = Counter()
        self._clock = clock
        self._frozen_until = timedelta(0)
        self._seen_peers: set[object] = set()
        self._silenced_peers: set[object] = set()

    def freeze(self, duration: timedelta) -> None:
        """Delays new calls for `duration`; the worker's clock keeps running."""
        self._frozen_until = self._clock.monotonic() + duration

    def silence(self, silent: bool) -> None:
        """Makes all connections seen so far silent, or ends that fault."""
        self._silenced_peers = set(self._seen_peers) if silent else set()

    async def wait_while_silent_or_frozen(self, request: web.Request) -> None:
        """Records the connection; waits while it is silenced or the worker is frozen."""
        peer = request.transport and request.transport.get_extra_info('peername')
        self._seen_peers.add(peer)
        if peer in self._silenced_peers:
            # The event is never set: the request gets no response.
            await asyncio.Event().wait()
        while self._clock.monotonic() < self._frozen_until:
            await self._clock.sleep(self._frozen_until - self._clock.monotonic())

    async def run_request(self, service: str, request_id: str, extra_ms: float) -> None:
        """Counts a request and waits for the duration of its run."""
        self.request_counts[request_id] += 1
        slowdown = self.worker.serve_slowdown(service)
        duration_ms = self.worker.spec.service_ms * slowdown
        total_ms = duration_ms + self.faults.serve_delay_ms + extra_ms
        await self._clock.sleep(timedelta(milliseconds=total_ms))
