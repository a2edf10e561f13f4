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

    def quantile(self, cpu_share: float, share: float) -> Resources:
        """Returns the least amounts that these shares of the tasks keep to.

        Args:
            cpu_share: Share of the tasks for processors.
            share: Share of the tasks for memory and accelerators.
        """
        if self._quantile is None:
            cpu = [used.cpu_millicores for used in self.used]
            rest = [(used.memory_bytes, used.accelerators) for used in self.used]
            cpu_bound = np.quantile(cpu, cpu_share, method='higher')
            bounds = np.quantile(rest, share, axis=0, method='higher')
            self._quantile = Resources(int(cpu_bound), *bounds.astype(int).tolist())
        return self._quantile
