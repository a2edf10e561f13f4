"""Structured event log with rate limits and non-blocking writes."""

import json
import os
import select
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import Final

import orjson

from chiveworks.base import Clock

#: Maximum number of lines per second for each event, or for each event and queue of
#: lines that name a queue; further ones are dropped.
LINES_PER_SECOND: Final = 200
#: Number of lines of an event per second, over all queues, above which each queue gets
#: only `QUIET_QUEUE_LINES`. It bounds the leader's work if many queues are busy.
EVENT_LINES_PER_SECOND: Final = 400
#: Number of lines per second that each event and queue may write however busy the
#: other queues are.
QUIET_QUEUE_LINES: Final = 20
#: Number of lines per second for each event, or for each event and queue, while the
#: process is short of time.
REDUCED_LINES_PER_SECOND: Final = 40
_SECOND = timedelta(seconds=1)


class EventLog:
    """Writes events as JSON lines to a file descriptor.

    Writes never block: a line that does not fit into the pipe buffer is dropped.
    Lines with a `queue` field are limited by event and queue, others by event, so that
    a busy queue does not displace the lines of a quiet one. Dropped lines are counted
    by event, and the counts are logged about once a second.

    Args:
        clock: Source of time.
        fields: Fields added to every line, such as the process and its zone.
        descriptor: File descriptor to write to; standard output by default.

    Attributes:
        reduced: Whether fewer lines are written, since the process is short of time.
        dropped: Number of lines dropped since the counts were last logged, by event.
    """

    def __init__(
        self, clock: Clock, fields: dict[str, str], descriptor: int = 1
    ) -> None:
        self._clock = clock
        self._descriptor = descriptor
        self._fields = fields
        self.reduced = False
        self._window_at = timedelta()
        self._counts: Counter[tuple[str, str]] = Counter()
        self._written: Counter[str] = Counter()
        self.dropped: Counter[str] = Counter()
        self._sparse_at: dict[tuple[str, str], timedelta] = {}
        self._observers: list[Callable[[str, dict[str, object]], None]] = []

    def subscribe(self, observer: Callable[[str, dict[str, object]], None]) -> None:
        """Calls `observer` with every event, including dropped ones."""
        self._observers.append(observer)

    def open(self) -> None:
        """Makes the descriptor non-blocking; call once before the first write."""
        os.set_blocking(self._descriptor, False)

    def write(self, event: str, **fields: object) -> None:
        """Writes an event with its fields, or drops and counts it."""
        for observer in self._observers:
            observer(event, fields)
        now = self._clock.monotonic()
        if now - self._window_at >= _SECOND:
            self._start_window(now)
        if not (self._may_write(event, fields) and self._emit(event, fields)):
            self.dropped[event] += 1

    def write_sparse(self, event: str, kind: str, /, **fields: object) -> None:
        """Writes an event like `write`, but at most one line a second of each kind.

        For events that clients can cause at any rate, all lines of which say the same.

        Args:
            event: Name of the event.
            kind: Kind of the line among those of the event.
            fields: Fields of the line.
        """
        now = self._clock.monotonic()
        written_at = self._sparse_at.get((event, kind))
        if written_at is None or now - written_at >= _SECOND:
            self._sparse_at[event, kind] = now
            self.write(event, **fields)
            return
        for observer in self._observers:
            observer(event, fields)
        self.dropped[event] += 1

    def _may_write(self, event: str, fields: dict[str, object]) -> bool:
        """Counts a line; tells whether it is within the limits of this second."""
        key = (event, str(fields.get('queue', '')))
        self._counts[key] += 1
        count = self._counts[key]
        limit = REDUCED_LINES_PER_SECOND if self.reduced else LINES_PER_SECOND
        if count > limit:
            return False
        if count > QUIET_QUEUE_LINES and self._written[event] >= EVENT_LINES_PER_SECOND:
            return False
        self._written[event] += 1
        return True

    def _start_window(self, now: timedelta) -> None:
        self._window_at = now
        self._counts.clear()
        self._written.clear()
        if self.dropped and self._emit('log_lines_dropped', {'counts': self.dropped}):
            self.dropped.clear()

    def _emit(self, event: str, fields: dict[str, object]) -> bool:
        """Writes a line; returns False if it was not written."""
        header = {'at': round(self._clock.now().timestamp(), 3), 'event': event}
        encoded = _encode({**header, **self._fields, **fields})
        # Writes to a pipe are atomic only up to this length.
        if len(encoded) > select.PIPE_BUF:
            return False
        try:
            os.write(self._descriptor, encoded)
        except BlockingIOError:
            return False
        return True


def _encode(line: dict[str, object]) -> bytes:
    try:
        return orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
    except TypeError:
        # Texts with lone surrogates and large integers, which clients may send.
        text = json.dumps(line, default=str, separators=(',', ':'))
        return f'{text}\n'.encode()
