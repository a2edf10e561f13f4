"""Stores the learned interference for the next leader."""

from datetime import timedelta
from typing import Final

from chiveworks.base import Clock
from chiveworks.dispatch._interference_model import InterferenceModel
from chiveworks.dispatch._progress_writer import ProgressWriter
from chiveworks.metastore import PRESSURE_KEY

#: Interval at which the interference model is stored.
STORE_INTERVAL: Final = timedelta(seconds=3)


class ModelStore:
    """Writes the interference model at intervals while it changes.

    Args:
        clock: Source of time.
        writer: Writes the model.
        model: Interference model.
    """

    def __init__(
        self, clock: Clock, writer: ProgressWriter, model: InterferenceModel
    ) -> None:
        self._clock = clock
        self._writer = writer
        self._model = model
        self._stored = b''
        self._checked_at = clock.monotonic()

    def check(self) -> None:
        """Writes the model if it is due and has changed."""
        now = self._clock.monotonic()
        if now - self._checked_at <= STORE_INTERVAL:
            return
        self._checked_at = now
        packed = self._model.dump()
        if packed != self._stored:
            self._stored = packed
            self._writer.put(PRESSURE_KEY, packed)
