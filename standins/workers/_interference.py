"""Slowdown of tasks that run on the same worker."""

from collections import Counter
from functools import lru_cache

import xxhash

_MAX_PAIR_SLOWDOWN = 0.5
_MAX_SLOWDOWN = 4.0
_HASH_RANGE = 1 << 64


@lru_cache(maxsize=4096)
def pair_slowdown(first: str, second: str) -> float:
    """Returns how much two kinds slow each other down, from 0 to 0.5.

    The value is a fixed property of the pair and unknown to the scheduler.
    """
    pair = '\n'.join(sorted((first, second)))
    digest: int = xxhash.xxh3_64_intdigest(pair.encode())
    return _MAX_PAIR_SLOWDOWN * digest / _HASH_RANGE


def slowdown_of(kind: str, running: Counter[str], load: float) -> float:
    """Returns the factor, from 1 to 4, by which `kind` runs slower.

    Args:
        kind: Kind of the task or service that is slowed down.
        running: Number of tasks of each kind on the worker, this one included.
        load: Load of the worker; see `RunTable.load`.
    """
    others = running - Counter((kind,))
    total = sum(pair_slowdown(kind, name) * count for name, count in others.items())
    return min(1 + load * total, _MAX_SLOWDOWN)
