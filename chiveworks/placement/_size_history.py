"""Recent resource use and run times of one kind of task."""

import math
from collections import deque
from dataclasses import dataclass, field

import numpy as np

from chiveworks.base import Resources
from chiveworks.placement._size_sample import SizeSample

#: Keeps the memory for 540 kinds under 2 MB; older samples are discarded.
_MAX_SAMPLES = 64


@dataclass
class SizeHistory:
    """The last samples of a kind, with a cached quantile.

    Attributes:
        used: Peak resource use of each task.
        log_ratios: Logarithms of the ratios of measured to declared run time.
    """

    used: deque[Resources] = field(default_factory=lambda: deque(maxlen=_MAX_SAMPLES))
    log_ratios: deque[float] = field(default_factory=lambda: deque(maxlen=_MAX_SAMPLES))
    _quantile: Resources | None = None

    def add(self, sample: SizeSample) -> None:
        """Adds a sample."""
        self.used.append(sample.used)
        self._quantile = None
        if sample.run_time and sample.declared_run_time:
            self.log_ratios.append(math.log(sample.run_time / sample.declared_run_time))

    def quantile(self, cpu_share: float, share: float) -> Resources:
        """Returns the quantiles of resource use for these shares of the tasks.

        They are cached until the next sample, so the shares must not change.

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
