"""Order in which processes contend for leadership."""

import random
from datetime import timedelta
from typing import Final

#: Upper bound of the random delay of a process with one core; divided by its cores.
SINGLE_CORE_DELAY: Final = timedelta(milliseconds=40)
#: Delay by which slower processes let faster ones go first. A fast process notices a
#: vacancy and acquires the leader key within about 100 ms.
SLOWER_DELAY: Final = timedelta(milliseconds=250)
#: Share of the speed of the fastest process from which a process counts as fast.
FAST_SHARE: Final = 0.7
#: How many times as fast as the leader a process must be to take over from it.
TAKEOVER_FACTOR: Final = 2.0
#: Time to live of the leader's lease. Bounds the pause in scheduling after the leader is
#: killed, and is long enough for four failed renewals in a row.
LEADER_TTL: Final = timedelta(milliseconds=1400)
#: Processor time below which the lease lasts longer, in inverse proportion, and the
#: longest lease. A renewal takes a process as much longer as it has less time.
FULL_SPEED_CORES: Final = 0.25
MAX_LEADER_TTL: Final = timedelta(seconds=3)
_MIN_CORES: Final = 0.01


class Candidacy:
    """Makes processes with more processor time contend first.

    The load that it answers: a leader fails while work waits. A slow successor needs
    longer to restore the state than a fast one, falls further behind meanwhile, and may
    lose its term under its own work.

    Args:
        cores: Processor time of this process, in cores.
    """

    def __init__(self, cores: float) -> None:
        self.cores = max(cores, _MIN_CORES)

    def delay(self, fastest_cores: float) -> timedelta:
        """Returns how long to wait after a vacancy before contending.

        Args:
            fastest_cores: Processor time of the fastest process that has registered.
        """
        spread = SINGLE_CORE_DELAY / self.cores * random.random()
        if self.cores >= FAST_SHARE * fastest_cores:
            return spread
        return SLOWER_DELAY + spread

    @property
    def lease_ttl(self) -> timedelta:
        """Time to live of the lease under which this process leads."""
        return min(
            max(LEADER_TTL, LEADER_TTL * (FULL_SPEED_CORES / self.cores)),
            MAX_LEADER_TTL,
        )

    def outranks(self, leader_cores: float) -> bool:
        """Whether this process is so much faster that a change of leader pays."""
        return self.cores >= TAKEOVER_FACTOR * leader_cores
