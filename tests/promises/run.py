"""Runs all registered checks."""

import time

from tests.promises import (
    config_checks,
    machine_checks,
    operation_checks,
    request_checks,
    shard_checks,
)
from tests.promises.check import CHECKS, Check
from tests.promises.tally import Tally

_MODULES = (
    shard_checks,
    operation_checks,
    machine_checks,
    request_checks,
    config_checks,
)
#: `--seeds` is divided by these to get the number of seeds of a scenario. Checks with
#: `takes_seed_count` get the full number.
_SEED_DIVISOR = 8
_SLOW_SEED_DIVISOR = 12


def seeds_of(one: Check, seeds: int) -> range:
    """Returns the seeds with which to run a check."""
    if one.takes_seed_count:
        return range(1)
    divisor = _SLOW_SEED_DIVISOR if one.slow else _SEED_DIVISOR
    return range(max(seeds // divisor, 1))


def run_checks(seeds: int, only: str = '', *, verbose: bool = True) -> Tally:
    """Runs the checks whose names contain `only`; returns their counts."""
    tally = Tally()
    for one in CHECKS:
        if only not in one.name:
            continue
        began = time.monotonic()
        for seed in seeds_of(one, seeds):
            one.run(tally, seed, seeds)
        if verbose:
            print(f'{time.monotonic() - began:6.1f} s  {one.name}', flush=True)
    return tally
