"""Users' shapes and the tasks they submit, for bench_decisions."""

from dataclasses import dataclass, field
from datetime import timedelta

import numpy as np

from chiveworks.base import Resources, TenantName
from chiveworks.placement import PlacementWeights

GIB = 2**30
WORKER = Resources(16000, 60 * GIB)


@dataclass(frozen=True)
class KindSpec:
    """One kind of batch task; `harm` scales the interference it causes."""

    name: str
    tenant: TenantName
    cpu: int
    memory_gib: int
    run_s: float
    deadline_s: float | None
    per_worker_s: float
    can_checkpoint: bool = True
    urgent: bool = False
    harm: float = 1
    #: Submitted only in waves.
    is_noise: bool = False


@dataclass(frozen=True)
class UserShape:
    """Zones, workers, kinds and weights of one user."""

    name: str
    zones: tuple[str, ...]
    workers: int
    service: str
    kinds: tuple[KindSpec, ...]
    weights: PlacementWeights
    #: Share of the batch capacity that a team may use.
    quota_share: float = 0.6
    service_size: Resources = field(default=Resources(5000, 16 * GIB))


@dataclass
class Job:
    """One task with its declared and actual sizes; `done_s` is its progress."""

    number: int
    spec: KindSpec
    arrival_s: float
    declared: Resources
    actual_cpu: int
    run_s: float
    declared_run_s: float
    done_s: float = 0
    share: float = 1
    queued_s: float = 0
    started_s: float = 0


def _kind(name: str, tenant: str, *sizes: float | None, **more: object) -> KindSpec:
    return KindSpec(name, TenantName(tenant), *sizes, **more)  # type: ignore[arg-type]


# Arrivals fill about 85% of the processors left by services when no task is
# slowed down, so interference decides whether the queue grows.
QUIMPERLE = UserShape(
    'quimperle',
    ('laita', 'kerbertrand', 'isole'),
    24,
    'compteurs',
    (
        _kind('readings', 'field', 1000, 2, 20, 90, 0.10, can_checkpoint=False),
        _kind('recalculation', 'billing', 2000, 6, 90, 600, 0.021),
        _kind('leakwatch', 'network', 500, 1, 60, 120, 0.035, urgent=True),
        _kind('archive', 'billing', 1500, 4, 60, None, 0.018, harm=5),
        _kind('bulk', 'network', 1500, 2, 40, 300, 0.05, harm=8, is_noise=True),
    ),
    PlacementWeights(tail_latency=1, batch_throughput=3, zone_work=3),
)
LAMPHUN = UserShape(
    'lamphun',
    ('th-north-a', 'th-north-b', 'th-north-c', 'th-north-d'),
    34,
    'orderdesk',
    (
        _kind('cutting', 'factory', 2000, 4, 80, 400, 0.022),
        _kind('stock', 'store', 1500, 6, 100, 900, 0.020),
        _kind('pricing', 'sales', 500, 1, 15, 45, 0.12, False, True),
        _kind('report', 'store', 1500, 3, 50, None, 0.022, harm=5),
        _kind('bulk', 'sales', 1500, 2, 40, 300, 0.05, harm=8, is_noise=True),
    ),
    PlacementWeights(tail_latency=3, batch_throughput=1, zone_work=1),
)


def submissions(
    shape: UserShape, duration_s: int, scenario: str, rng: np.random.Generator
) -> list[list[Job]]:
    """Returns the jobs submitted in each second."""
    arrivals = []
    number = 0
    for now in range(duration_s):
        batch = []
        for spec in shape.kinds:
            rate = spec.per_worker_s * shape.workers * _factor(spec, scenario, now)
            for _ in range(int(rng.poisson(rate))):
                number += 1
                batch.append(_job(number, spec, now, scenario, rng))
        arrivals.append(batch)
    return arrivals


def _factor(spec: KindSpec, scenario: str, now: int) -> float:
    if spec.is_noise:
        in_wave = scenario == 'noisy_waves' and now % 120 >= 80
        return float(in_wave)
    if scenario == 'backlog':
        return 1.8
    if scenario == 'load_shift' and now >= 200:
        # The mix turns towards the harmful kind.
        return 2 if spec.harm > 1 else 0.9
    return 1


def _job(
    number: int, spec: KindSpec, now: int, scenario: str, rng: np.random.Generator
) -> Job:
    run_s = spec.run_s * float(rng.lognormal(0, 0.25))
    cpu_factor, run_factor = 1.0, 1.0
    wrong = float(rng.random()) < 0.3
    draws = rng.uniform(1.2, 2.5), rng.uniform(0.3, 4)
    if scenario == 'wrong_sizes' and wrong:
        cpu_factor, run_factor = map(float, draws)
    return Job(
        number,
        spec,
        arrival_s=now,
        declared=Resources(spec.cpu, spec.memory_gib * GIB),
        actual_cpu=int(spec.cpu * cpu_factor),
        run_s=run_s * run_factor,
        declared_run_s=spec.run_s,
    )


def deadline(job: Job) -> timedelta | None:
    """Returns the job's deadline as a monotonic time."""
    if job.spec.deadline_s is None:
        return None
    return timedelta(seconds=job.arrival_s + job.spec.deadline_s)
