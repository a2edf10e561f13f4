"""Importance of the users' measures in a placement decision."""

from dataclasses import dataclass


@dataclass(frozen=True)
class PlacementWeights:
    """Weights from settings; only their ratios matter.

    Attributes:
        tail_latency: Weight of predicted harm to services.
        batch_throughput: Weight of predicted slowdown of batch work.
        zone_work: Weight of keeping room for large tasks, which decides how
            much work fits while another availability zone is out.
    """

    tail_latency: float = 1
    batch_throughput: float = 1
    zone_work: float = 1
