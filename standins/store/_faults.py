"""Faults of the store that tests set."""

import random
from dataclasses import dataclass, field


@dataclass
class StoreFaults:
    """Outage, delayed answers and lost answers of key writes.

    Attributes:
        outage: Refuses every call.
        delay_ms: Delays every answer; the call takes effect before the delay.
        drop_answer_next: Number of key writes whose answers are lost next.
        drop_answer_share: Share of key writes whose answers are lost.
        seed: Seed of the choice of lost answers.
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
            ValueError: A field has an unknown name.
        """
        for name, setting in changes.items():
            if name.startswith('_') or not hasattr(self, name):
                raise ValueError(f'unknown fault {name!r}')
            setattr(self, name, setting)
        if 'seed' in changes:
            self._generator = None

    def take_drop(self) -> bool:
        """Decides whether the answer of the current key write is lost."""
        if self.drop_answer_next > 0:
            self.drop_answer_next -= 1
            return True
        if self.drop_answer_share <= 0:
            return False
        if self._generator is None:
            self._generator = random.Random(self.seed)  # noqa: S311
        return self._generator.random() < self.drop_answer_share
