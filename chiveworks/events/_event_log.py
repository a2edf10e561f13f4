"""Structured lines for decisions: bounded, and never waiting for the reader."""

import json
import os
import select
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import Final

from chiveworks.base import Clock

#: Lines of one event a second; further ones are counted and dropped.
LINES_PER_SECOND: Final = 200
_SECOND = timedelta(seconds=1)


class EventLog:
    """Writes one JSON object a line to a file descriptor.

    The descriptor is written without waiting: a line that does not fit into the
    pipe is dropped and counted. Counts of dropped lines are written every second
    in which there were any.

    Args:
        clock: Source of time.
        fields: Fields of every line, such as the process and its zone.
        descriptor: Where to write; standard output by default.
    """

    def __init__(
        self, clock: Clock, fields: dict[str, str], descriptor: int = 1
    ) -> None:
        self._clock = clock
        self._descriptor = descriptor
        self._fields = fields
        self._window_at = timedelta()
        self._written: Counter[str] = Counter()
        self.dropped: Counter[str] = Counter()
        self._observers: list[Callable[[str, dict[str, object]], None]] = []

    def subscribe(self, observer: Callable[[str, dict[str, object]], None]) -> None:
        """Calls `observer` with every event, also with those that are dropped."""
        self._observers.append(observer)

    def open(self) -> None:
        """Makes the descriptor non-blocking; call once before the first line."""
        os.set_blocking(self._descriptor, False)

    def write(self, event: str, **fields: object) -> None:
        """Writes one event with its fields, or counts it as dropped."""
        for observer in self._observers:
            observer(event, fields)
        now = self._clock.monotonic()
        if now - self._window_at >= _SECOND:
            self._start_window(now)
        self._written[event] += 1
        over = self._written[event] > LINES_PER_SECOND
        if over or not self._emit(event, fields):
            self.dropped[event] += 1

    def _start_window(self, now: timedelta) -> None:
        self._window_at = now
        self._written.clear()
        if self.dropped and self._emit('log_lines_dropped', {'counts': self.dropped}):
            self.dropped.clear()

    def _emit(self, event: str, fields: dict[str, object]) -> bool:
        """Writes a line; tells whether the descriptor took it."""
        head = {'at': round(self._clock.now().timestamp(), 3), 'event': event}
        line = json.dumps(
            {**head, **self._fields, **fields}, default=str, separators=(',', ':')
        )
        encoded = f'{line}\n'.encode()
        # Up to this length a pipe takes a line as a whole or not at all.
        if len(encoded) > select.PIPE_BUF:
            return False
        try:
            os.write(self._descriptor, encoded)
        except BlockingIOError:
            return False
        return True
