"""Bound of the uncertainty at which an estimate is reported."""

from enum import Enum


class Bound(str, Enum):
    """Whether estimates report the lower bound, the mean or the upper bound."""

    OPTIMISTIC = 'optimistic'
    MEAN = 'mean'
    PESSIMISTIC = 'pessimistic'

    @property
    def sign(self) -> int:
        """Returns the sign with which the uncertainty is added to the mean."""
        signs = {Bound.OPTIMISTIC: -1, Bound.PESSIMISTIC: 1}
        return signs.get(self, 0)
