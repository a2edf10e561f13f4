"""Weights of the objectives of a placement decision."""

from dataclasses import dataclass


@dataclass(frozen=True)
class PlacementWeights:
    """Weights of the objectives, from settings.

    Their ratios matter, and their size relative to the fixed cost of failed starts.

    Attributes:
        tail_latency: Weight of the predicted slowdown of services.
        batch_throughput: Weight of the predicted slowdown of batch work.
        zone_work: Weight of keeping space for large tasks, which determines how
            much work fits while another availability zone is out of service.
    """

    tail_latency: float = 1
    batch_throughput: float = 1
    zone_work: float = 1
