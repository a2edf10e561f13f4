"""Side of the uncertainty on which an estimate is reported."""

from enum import Enum


class Bound(str, Enum):
    """Whether estimates lean to the low or the high end of what is plausible."""

    OPTIMISTIC = 'optimistic'
    MEAN = 'mean'
    PESSIMISTIC = 'pessimistic'

    @property
    def sign(self) -> int:
        """Returns the direction in which uncertainty moves the estimate."""
        signs = {Bound.OPTIMISTIC: -1, Bound.PESSIMISTIC: 1}
        return signs.get(self, 0)
