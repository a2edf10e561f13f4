"""A worker as it is reached over HTTP."""

import asyncio
from collections import Counter
from datetime import timedelta

from aiohttp import web

from chiveworks.base import Clock
from standins.workers._faults import WorkerFaults
from standins.workers._worker import SimulatedWorker


class WorkerSite:
    """A worker with its faults and the connections it has seen.

    Attributes:
        worker: The worker.
        faults: Its faults.
        request_counts: How often each request id ran.
    """

    def __init__(self, worker: SimulatedWorker, clock: Clock) -> None:
        self.worker = worker
        self.faults = WorkerFaults()
        self.request_counts: Counter[str] = Counter()
        self._clock = clock
        self._frozen_until = timedelta(0)
        self._open: set[object] = set()
        self._silenced: set[object] = set()

    def freeze(self, duration: timedelta) -> None:
        """Answers nothing for `duration`; the worker's clock goes on."""
        self._frozen_until = self._clock.monotonic() + duration

    def silence(self, silent: bool) -> None:
        """Lets no connection used so far answer again, or ends that fault."""
        self._silenced = set(self._open) if silent else set()

    async def pass_gate(self, request: web.Request) -> None:
        """Waits as long as a fault keeps the request from being looked at."""
        peer = request.transport and request.transport.get_extra_info('peername')
        self._open.add(peer)
        if peer in self._silenced:
            await asyncio.Event().wait()
        while self._clock.monotonic() < self._frozen_until:
            await self._clock.sleep(self._frozen_until - self._clock.monotonic())

    async def run_request(self, service: str, request_id: str, extra_ms: float) -> None:
        """Counts a request and waits for its service time."""
        self.request_counts[request_id] += 1
        slowdown = self.worker.serve_slowdown(service)
        duration_ms = self.worker.spec.service_ms * slowdown
        total_ms = duration_ms + self.faults.serve_delay_ms + extra_ms
        await self._clock.sleep(timedelta(milliseconds=total_ms))
