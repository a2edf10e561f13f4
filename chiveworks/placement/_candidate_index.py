"""Workers grouped by free resources, for decisions that do not scan them all."""

import itertools
from collections.abc import Iterator

import numpy as np

from chiveworks.base import Resources, WorkerId
from chiveworks.placement._candidate import Candidate
from chiveworks.placement._demand import Demand

_Cell = tuple[int, int, int]
#: Candidates looked at in a decision. Twice as many gave no better choices
#: within a zone, at twice the cost.
_SAMPLE_SIZE = 16

#: Workers on the boundary checked once another one is known to fit. On a full
#: fleet most of them do not fit, and checking all costs time in proportion.
_SCAN_LIMIT = 64


class CandidateIndex:
    """Groups workers into cells by the order of magnitude of free resources.

    The number of cells is bounded by the sizes of workers, so a decision costs
    about the same for any number of workers. The exception is a demand for which
    no cell is certain to have room: it may check every member of the cells on
    the boundary.
    """

    def __init__(
        self, rng: np.random.Generator, sample_size: int = _SAMPLE_SIZE
    ) -> None:
        self._rng = rng
        self._sample_size = sample_size
        self._candidates: dict[WorkerId, Candidate] = {}
        self._cells: dict[_Cell, list[WorkerId]] = {}
        self._positions: dict[WorkerId, tuple[_Cell, int]] = {}

    def __len__(self) -> int:
        """Returns the number of workers."""
        return len(self._candidates)

    def __iter__(self) -> Iterator[Candidate]:
        """Iterates over all workers."""
        return iter(self._candidates.values())

    def get(self, worker_id: WorkerId) -> Candidate | None:
        """Returns the worker's state, or None for an unknown worker."""
        return self._candidates.get(worker_id)

    def put(self, candidate: Candidate) -> None:
        """Adds a worker or replaces its state."""
        worker_id = candidate.worker_id
        self._candidates[worker_id] = candidate
        cell = _cell_of(candidate.free)
        position = self._positions.get(worker_id)
        if candidate.quarantined:
            self._leave_cell(worker_id)
        elif position is None or position[0] != cell:
            self._leave_cell(worker_id)
            members = self._cells.setdefault(cell, [])
            self._positions[worker_id] = (cell, len(members))
            members.append(worker_id)

    def remove(self, worker_id: WorkerId) -> None:
        """Removes a worker; an unknown one is ignored."""
        if self._candidates.pop(worker_id, None) is not None:
            self._leave_cell(worker_id)

    def claim(self, worker_id: WorkerId, demand: Demand) -> None:
        """Records that the demand holds resources of the worker."""
        self.put(self._candidates[worker_id].with_task(demand))

    def release(self, worker_id: WorkerId, demand: Demand) -> None:
        """Records that the demand holds nothing more; unknown workers are ignored."""
        candidate = self._candidates.get(worker_id)
        if candidate is not None:
            self.put(candidate.without_task(demand))

    def sample(self, demand: Demand) -> tuple[Candidate, ...]:
        """Returns some workers that accept the demand; empty only when none does."""
        needed = _cell_of(demand.resources)
        surely: list[list[WorkerId]] = []
        maybe: list[list[WorkerId]] = []
        for cell, members in self._cells.items():
            fit = _compare(needed, cell)
            if fit > 0:
                surely.append(members)
            elif fit == 0:
                maybe.append(members)
        found = [self._candidates[name] for name in self._pick(surely)]
        missing = self._sample_size - len(found)
        if missing > 0:
            limit = _SCAN_LIMIT if found else len(self)
            found.extend(self._scan(maybe, demand, missing, limit))
        return tuple(found)

    def _pick(self, groups: list[list[WorkerId]]) -> list[WorkerId]:
        total = sum(map(len, groups))
        if total <= self._sample_size:
            return [name for members in groups for name in members]
        # Slots are drawn with replacement: a repeated worker costs one look.
        slots = sorted((self._rng.random(self._sample_size) * total).tolist())
        picked = []
        group_start = 0
        groups_left = iter(groups)
        members = next(groups_left)
        for slot in slots:
            while slot >= group_start + len(members):
                group_start += len(members)
                members = next(groups_left)
            picked.append(members[int(slot) - group_start])
        return picked

    def _scan(
        self,
        groups: list[list[WorkerId]],
        demand: Demand,
        missing: int,
        limit: int,
    ) -> list[Candidate]:
        """Looks for fits among `limit` members of the cells on the boundary."""
        names = itertools.islice(self._rotated(groups), limit)
        ordered = (self._candidates[name] for name in names)
        fitting = (candidate for candidate in ordered if candidate.accepts(demand))
        return list(itertools.islice(fitting, missing))

    def _rotated(self, groups: list[list[WorkerId]]) -> Iterator[WorkerId]:
        for members in groups:
            offset = int(self._rng.integers(len(members)))
            yield from itertools.islice(members, offset, None)
            yield from itertools.islice(members, offset)

    def _leave_cell(self, worker_id: WorkerId) -> None:
        position = self._positions.pop(worker_id, None)
        if position is None:
            return
        cell, index = position
        members = self._cells[cell]
        last = members.pop()
        if last != worker_id:
            members[index] = last
            self._positions[last] = (cell, index)
        if not members:
            self._cells.pop(cell)


def _cell_of(amount: Resources) -> _Cell:
    return (
        _magnitude(amount.cpu_millicores),
        _magnitude(amount.memory_bytes),
        _magnitude(amount.accelerators),
    )


def _magnitude(amount: int) -> int:
    """Returns the number of binary digits; negative amounts fit nothing."""
    return amount.bit_length() if amount >= 0 else -1


def _compare(needed: _Cell, cell: _Cell) -> int:
    """Returns 1 when all members of the cell fit, 0 when some may, else -1."""
    verdict = 1
    for need, have in zip(needed, cell, strict=True):
        if have < need:
            return -1
        if have == need and need > 0:
            verdict = 0
    return verdict
