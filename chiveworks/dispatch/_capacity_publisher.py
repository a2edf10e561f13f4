"""Publishes the shapes of the workers, by which processes refuse unservable jobs."""

from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Final

from chiveworks.base import Clock, WorkerId
from chiveworks.capacity import (
    CapacityHistory,
    CapacityRecord,
    WorkerShape,
    decode_capacity,
)
from chiveworks.dispatch._progress_writer import ProgressWriter
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.events import EventLog
from chiveworks.metastore import CAPACITY_KEY

#: Time for which a new leader publishes nothing. Workers whose entries have expired
#: while the store was away are listed again within two seconds of its return.
SETTLE: Final = timedelta(seconds=5)

#: Time since the last reading of the list of workers after which the record names no
#: service. A watch of the list returns after 1.5 s at the latest.
MAX_SILENCE: Final = timedelta(seconds=3)


class CapacityPublisher:
    """Owner of the record of the workers' shapes in one term.

    The record is written together with the numbers of pending jobs, and only if it
    changed, so it costs no call of its own. It names its term: processes ignore the
    record of an earlier leader, until the current one has seen the workers.

    Args:
        leader_value: Content of the leader key in this term.
        clock: Source of time.
        log: Event log for each record, and for an inherited one that cannot be read.
        writer: Writes the record.
        workers: Workers by id, those that drain or are out of reach included.
    """

    def __init__(
        self,
        leader_value: str,
        clock: Clock,
        log: EventLog,
        writer: ProgressWriter,
        workers: Mapping[WorkerId, WorkerView],
    ) -> None:
        self._leader_value = leader_value
        self._clock = clock
        self._log = log
        self._writer = writer
        self._workers = workers
        self._history = CapacityHistory(clock)
        self._began_at: timedelta | None = None
        self._list_read_at: Callable[[], timedelta] | None = None
        self._stored = b''

    def inherit(self, stored: str | None) -> None:
        """Takes over the workers in the record of an earlier leader, if there is one."""
        if stored is None:
            return
        try:
            record = decode_capacity(stored)
        except ValueError as error:
            self._log.write('entry_skipped', key=CAPACITY_KEY, reason=str(error))
            return
        self._history.inherit(dict(record.services))

    def follow(self, list_read_at: Callable[[], timedelta]) -> None:
        """Sets what returns the time at which the list of workers was last read."""
        self._list_read_at = list_read_at

    def publish(self) -> None:
        """Takes note of the workers and writes the record if it has changed."""
        now = self._clock.monotonic()
        for worker_id, worker in self._workers.items():
            info = worker.info
            # The service of a worker that this leader has not seen listed is unknown.
            if info.service:
                shape = WorkerShape(info.capacity, info.labels)
                self._history.observe(info.service, worker_id, shape)
        if self._began_at is None:
            self._began_at = now
        if now - self._began_at < SETTLE:
            return
        services = {}
        if self._list_is_current(now):
            known = self._history.services()
            services = {name: each.rounded() for name, each in known.items()}
        record = CapacityRecord(self._leader_value, services)
        encoded = record.encode()
        if encoded != self._stored:
            self._stored = encoded
            self._writer.put(CAPACITY_KEY, encoded)
            self._log.write(
                'capacity_published',
                services={
                    name: sum(service.counts.values())
                    for name, service in services.items()
                },
                size_bytes=len(encoded),
            )

    def _list_is_current(self, now: timedelta) -> bool:
        return (
            self._list_read_at is not None and now - self._list_read_at() <= MAX_SILENCE
        )
