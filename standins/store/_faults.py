"""Faults of the store that tests can inject."""

import random
from dataclasses import dataclass, field


@dataclass
class StoreFaults:
    """Outages, delayed responses and lost responses to key writes.

    Attributes:
        outage: Whether every call is refused.
        delay_ms: Delay of every response; the call takes effect before the delay.
        drop_answer_next: Number of upcoming key writes whose responses are lost.
        drop_answer_share: Fraction of key writes whose responses are lost.
        seed: Seed for the choice of lost responses.
    """

    outage: bool = False
    delay_ms: int = 0
    drop_answer_next: int = 0
    drop_answer_share: float = 0
    seed: int = 0
    _generator: random.Random | None = field(default=None, init=False, repr=False)

    def update(self, changes: dict[str, object]) -> None:
        """Sets the given fields.

        Raises:
            ValueError: There is no field with one of the names.
        """
        for name, setting in changes.items():
            if name.startswith('_') or not hasattr(self, name):
                raise ValueError(f'unknown fault {name!r}')
            setattr(self, name, setting)
        if 'seed' in changes:
            self._generator = None

    def should_drop_response(self) -> bool:
        """Decides whether the response to the current key write is lost."""
        if self.drop_answer_next > 0:
            self.drop_answer_next -= 1
            return True
        if self.drop_answer_share <= 0:
            return False
        if self._generator is None:
            self._generator = random.Random(self.seed)  # noqa: S311
        return self._generator.random() < self.drop_answer_share
