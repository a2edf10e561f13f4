"""Structured lines for decisions: bounded, and never waiting for the reader."""

import json
import os
from collections import Counter
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
        self._fields = json.dumps(fields)[1:-1]
        self._window_at = timedelta()
        self._written: Counter[str] = Counter()
        self.dropped: Counter[str] = Counter()

    def open(self) -> None:
        """Makes the descriptor non-blocking; call once before the first line."""
        os.set_blocking(self._descriptor, False)

    def write(self, event: str, **fields: object) -> None:
        """Writes one event with its fields, or counts it as dropped."""
        now = self._clock.monotonic()
        if now - self._window_at >= _SECOND:
            self._start_window(now)
        self._written[event] += 1
        if self._written[event] > LINES_PER_SECOND:
            self.dropped[event] += 1
        else:
            self._emit(event, fields)

    def _start_window(self, now: timedelta) -> None:
        self._window_at = now
        self._written.clear()
        if self.dropped:
            dropped = dict(self.dropped)
            self.dropped.clear()
            self._emit('log_lines_dropped', {'counts': dropped})

    def _emit(self, event: str, fields: dict[str, object]) -> None:
        rest = json.dumps(fields, default=str, separators=(',', ':'))[1:]
        comma = ',' if fields else ''
        line = f'{{"at":{self._clock.now().timestamp():.3f},"event":"{event}",{self._fields}{comma}{rest}\n'
        try:
            written = os.write(self._descriptor, line.encode())
        except BlockingIOError:
            self.dropped[event] += 1
            return
        if written < len(line):
            # A pipe takes part of a line only when it is nearly full.
            self.dropped[event] += 1
