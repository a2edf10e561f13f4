"""Shares the headroom of the serving tasks on a worker among its filling tasks."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

#: Loss of headroom from which a filling task counts as a cause of a lack. Slowing down
#: tasks that take less would not help a serving task that is slow by itself.
NOTABLE_LOSS: Final = 0.12
#: Smallest pace at which a task works; below it a task is paused. A slower task holds
#: its memory for long and hardly gets anything done.
MIN_PACE_PERCENT: Final = 20
#: Paces are multiples of this, so that small changes of the headroom cause no orders.
PACE_STEP_PERCENT: Final = 10
FULL_PACE_PERCENT: Final = 100


@dataclass(frozen=True, slots=True)
class FillingLoad:
    """What a filling task takes from the serving tasks beside it.

    Attributes:
        losses: Headroom that each serving task loses while the task works at full pace.
        pace_percent: Present pace.
    """

    losses: Sequence[float]
    pace_percent: int


def lower_paces(loads: Sequence[FillingLoad], left: Sequence[float]) -> list[int]:
    """Returns the paces at which no serving task lacks headroom for a notable cause.

    The load pattern that this answers: the load of the serving tasks rises, and the
    filling tasks beside them take a little more than what is left. Only as much is taken
    from them as is missing, beginning with the task that costs most headroom, instead of
    pausing whole tasks.

    Args:
        loads: Filling tasks.
        left: Headroom of each serving task that is left at the present paces; negative if
            it is missing.
    """
    paces = [load.pace_percent for load in loads]
    remaining = list(left)
    for serving in sorted(range(len(remaining)), key=remaining.__getitem__):
        for position in _by_loss(loads, serving):
            loss = loads[position].losses[serving]
            if remaining[serving] >= 0 or loss < NOTABLE_LOSS:
                break
            pace = paces[position]
            kept = pace + remaining[serving] / loss * FULL_PACE_PERCENT
            paces[position] = _round_down(min(kept, pace))
            _take(remaining, loads[position], paces[position] - pace)
    return paces


def raise_paces(loads: Sequence[FillingLoad], left: Sequence[float]) -> list[int]:
    """Returns the paces at which the filling tasks use the headroom that is left.

    The load pattern that this answers: the load of the serving tasks falls, or a filling
    task has ended. Tasks that cost little headroom come first, so that as much work as
    possible gets done with it; among equal ones, those that are faster already.

    Args:
        loads: Filling tasks, the most urgent first.
        left: Headroom of each serving task that is left at the present paces.
    """
    paces = [load.pace_percent for load in loads]
    remaining = list(left)
    by_cost = sorted(
        range(len(loads)),
        key=lambda position: (
            round(max(loads[position].losses, default=0), 1),
            -paces[position],
        ),
    )
    for position in by_cost:
        load = loads[position]
        extra = min(
            (
                room / loss * FULL_PACE_PERCENT
                for room, loss in zip(remaining, load.losses, strict=True)
                if loss > 0
            ),
            default=FULL_PACE_PERCENT,
        )
        pace = _round_down(min(paces[position] + max(extra, 0), FULL_PACE_PERCENT))
        if pace > paces[position]:
            _take(remaining, load, pace - paces[position])
            paces[position] = pace
    return paces


def _by_loss(loads: Sequence[FillingLoad], serving: int) -> list[int]:
    """Returns the positions of the loads, the one that costs most headroom first."""
    return sorted(
        range(len(loads)), key=lambda position: -loads[position].losses[serving]
    )


def _round_down(pace_percent: float) -> int:
    if pace_percent < MIN_PACE_PERCENT:
        return 0
    return int(pace_percent // PACE_STEP_PERCENT) * PACE_STEP_PERCENT


def _take(remaining: list[float], load: FillingLoad, change_percent: int) -> None:
    """Takes the headroom that a change of a task's pace costs from what remains."""
    for serving, loss in enumerate(load.losses):
        remaining[serving] -= loss * change_percent / FULL_PACE_PERCENT
