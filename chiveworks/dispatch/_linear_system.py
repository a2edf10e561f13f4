"""Solves small systems of linear equations."""

from collections.abc import Sequence
from operator import mul


def solve_linear(rows: Sequence[Sequence[float]]) -> list[float]:
    """Solves a positive definite system by elimination without pivoting.

    Args:
        rows: One row for each unknown, with the right side as its last column.

    Returns:
        The unknowns in the order of the columns.
    """
    size = len(rows)
    work = [list(row) for row in rows]
    for pivot in range(size):
        for lower in range(pivot + 1, size):
            _eliminate(work[pivot], work[lower], pivot)
    solution: list[float] = []
    for pivot in reversed(range(size)):
        row = work[pivot]
        factors = row[pivot + 1 : size]
        known = sum(map(mul, factors, reversed(solution)))
        solution.append((row[size] - known) / row[pivot])
    solution.reverse()
    return solution


def _eliminate(pivot_row: list[float], row: list[float], pivot: int) -> None:
    factor = row[pivot] / pivot_row[pivot]
    if factor:
        for column, entry in enumerate(pivot_row):
            row[column] -= factor * entry
