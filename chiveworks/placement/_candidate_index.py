"""Index of workers by free resources, to place tasks without a full scan."""

import itertools
from collections.abc import Iterator

import numpy as np

from chiveworks.base import Resources, WorkerId
from chiveworks.placement._candidate import Candidate
from chiveworks.placement._demand import Demand

_Cell = tuple[int, int, int]
#: Candidates examined per decision. Twice as many cost twice as much and gave no
#: better choices within a zone.
_SAMPLE_SIZE = 16

#: Members of boundary cells checked if another worker is known to fit. In a full fleet
#: most of them do not fit, and checking all takes time proportional to their number.
_SCAN_LIMIT = 64


class CandidateIndex:
    """Groups workers into cells by the order of magnitude of free resources.

    The number of cells is bounded by the sizes of workers, so the cost of a decision
    is nearly independent of the number of workers. The exception is a demand that fits
    only in boundary cells, in which some members have room for it and others may not:
    then all of their members may be checked. Quarantined workers are in no cell.
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
            self._remove_from_cell(worker_id)
        elif position is None or position[0] != cell:
            self._remove_from_cell(worker_id)
            members = self._cells.setdefault(cell, [])
            self._positions[worker_id] = (cell, len(members))
            members.append(worker_id)

    def remove(self, worker_id: WorkerId) -> None:
        """Removes a worker; an unknown one is ignored."""
        if self._candidates.pop(worker_id, None) is not None:
            self._remove_from_cell(worker_id)

    def claim(self, worker_id: WorkerId, demand: Demand) -> None:
        """Claims the demand's resources on the worker."""
        self.put(self._candidates[worker_id].with_task(demand))

    def release(self, worker_id: WorkerId, demand: Demand) -> None:
        """Releases the demand's resources; unknown workers are ignored."""
        candidate = self._candidates.get(worker_id)
        if candidate is not None:
            self.put(candidate.without_task(demand))

    def sample(self, demand: Demand) -> tuple[Candidate, ...]:
        """Returns some workers that accept the demand, or none if no worker does.

        A worker may be returned more than once.
        """
        needed = _cell_of(demand.resources)
        certain_fits: list[list[WorkerId]] = []
        possible_fits: list[list[WorkerId]] = []
        for cell, members in self._cells.items():
            fit = _cell_fit(needed, cell)
            if fit > 0:
                certain_fits.append(members)
            elif fit == 0:
                possible_fits.append(members)
        found = [self._candidates[worker_id] for worker_id in self._draw(certain_fits)]
        missing = self._sample_size - len(found)
        if missing > 0:
            limit = _SCAN_LIMIT if found else len(self)
            found.extend(self._scan(possible_fits, demand, missing, limit))
        return tuple(found)

    def _draw(self, groups: list[list[WorkerId]]) -> list[WorkerId]:
        total = sum(map(len, groups))
        if total <= self._sample_size:
            return [worker_id for members in groups for worker_id in members]
        # Sampling with replacement; a worker drawn twice is merely examined twice.
        draws = sorted((self._rng.random(self._sample_size) * total).tolist())
        picked = []
        group_start = 0
        groups_left = iter(groups)
        members = next(groups_left)
        for draw in draws:
            while draw >= group_start + len(members):
                group_start += len(members)
                members = next(groups_left)
            picked.append(members[int(draw) - group_start])
        return picked

    def _scan(
        self,
        groups: list[list[WorkerId]],
        demand: Demand,
        missing: int,
        limit: int,
    ) -> list[Candidate]:
        """Returns up to `missing` fitting workers of `limit` boundary cell members."""
        worker_ids = itertools.islice(self._from_random_offsets(groups), limit)
        ordered = (self._candidates[worker_id] for worker_id in worker_ids)
        fitting = (candidate for candidate in ordered if candidate.accepts(demand))
        return list(itertools.islice(fitting, missing))

    def _from_random_offsets(self, groups: list[list[WorkerId]]) -> Iterator[WorkerId]:
        for members in groups:
            offset = int(self._rng.integers(len(members)))
            yield from itertools.islice(members, offset, None)
            yield from itertools.islice(members, offset)

    def _remove_from_cell(self, worker_id: WorkerId) -> None:
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
    """Returns the bit length, or -1 for negative amounts, in which nothing fits."""
    return amount.bit_length() if amount >= 0 else -1


def _cell_fit(needed: _Cell, cell: _Cell) -> int:
    """Returns 1 if every member of the cell has room, 0 if some may have, else -1."""
    fit = 1
    for required, available in zip(needed, cell, strict=True):
        if available < required:
            return -1
        if available == required and required > 0:
            fit = 0
    return fit
