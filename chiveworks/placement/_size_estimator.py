"""Estimates of task sizes and run times from declared and observed ones."""

import math
from collections.abc import Iterable
from datetime import timedelta

import numpy as np

from chiveworks.base import Resources, check_positive, check_share
from chiveworks.placement._size_history import SizeHistory
from chiveworks.placement._size_sample import SizeSample


class SizeEstimator:
    """Learns for each kind how tasks differ from their declared sizes.

    A reservation is never smaller than the declared size, since a task may use all
    its declared resources at any time, regardless of earlier observations.

    Args:
        cpu_share: Share of observed tasks whose processor use a reservation covers.
            The few larger tasks slow their neighbours down; covering all of them
            would leave processors idle for the many small ones.
        share: The same for memory and accelerators, which cannot be shared.
        min_samples: Number of samples below which the declared size is used.
        prior_weight: Weight of the declared run time, in samples.
    """

    def __init__(
        self,
        cpu_share: float = 0.75,
        share: float = 0.95,
        min_samples: int = 5,
        prior_weight: float = 3,
    ) -> None:
        self.cpu_share = cpu_share
        self.share = share
        self.min_samples = min_samples
        self.prior_weight = prior_weight
        # The trailing underscore marks learned state (design.md, section 13).
        self.histories_: dict[str, SizeHistory] = {}  # noqa: WPS120

    def partial_fit(self, samples: Iterable[SizeSample]) -> 'SizeEstimator':
        """Learns from tasks that have ended."""
        for sample in samples:
            self.histories_.setdefault(sample.kind, SizeHistory()).add(sample)
        return self

    def predict(self, kind: str, declared: Resources) -> Resources:
        """Returns the maximum of the declared size and the quantiles of observed use."""
        check_share('cpu_share', self.cpu_share)
        check_share('share', self.share)
        history = self.histories_.get(kind)
        if history is None or len(history.used) < self.min_samples:
            return declared
        return declared.maximum(history.quantile(self.cpu_share, self.share))

    def predict_run_time(self, kind: str, declared: timedelta) -> timedelta:
        """Returns the declared run time, corrected by the median of observed ratios."""
        check_positive('prior_weight', self.prior_weight)
        history = self.histories_.get(kind)
        if history is None or not history.log_ratios:
            return declared
        count = len(history.log_ratios)
        weight = count / (count + self.prior_weight)
        return declared * math.exp(weight * float(np.median(history.log_ratios)))
