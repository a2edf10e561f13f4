"""Recent sizes of one kind of task."""

import math
from collections import deque
from dataclasses import dataclass, field

import numpy as np

from chiveworks.base import Resources
from chiveworks.placement._size_sample import SizeSample

#: Keeps the bytes of 540 kinds under 2 MB; older tasks count for nothing.
_WINDOW = 64


@dataclass
class SizeHistory:
    """The last tasks of a kind, and what was computed from them."""

    used: deque[Resources] = field(default_factory=lambda: deque(maxlen=_WINDOW))
    log_ratios: deque[float] = field(default_factory=lambda: deque(maxlen=_WINDOW))
    _quantile: Resources | None = None

    def add(self, sample: SizeSample) -> None:
        """Adds one task."""
        self.used.append(sample.used)
        self._quantile = None
        if sample.run_time and sample.declared_run_time:
            self.log_ratios.append(math.log(sample.run_time / sample.declared_run_time))

    def quantile(self, share: float) -> Resources:
        """Returns the least observed amounts that `share` of the tasks keep to."""
        if self._quantile is None:
            fields = [
                (used.cpu_millicores, used.memory_bytes, used.accelerators)
                for used in self.used
            ]
            bounds = np.quantile(fields, share, axis=0, method='higher')
            self._quantile = Resources(*bounds.astype(int).tolist())
        return self._quantile
