"""Reference deployments and the tasks submitted to them, for bench_decisions."""

from dataclasses import dataclass, field
from datetime import timedelta

import numpy as np

from chiveworks.base import Resources, TenantName
from chiveworks.placement import PlacementWeights

GIB = 2**30
WORKER_CAPACITY = Resources(16000, 60 * GIB)


@dataclass(frozen=True)
class KindSpec:
    """Properties of one kind of batch task.

    Attributes:
        name: Name of the kind.
        tenant: Tenant that submits the tasks.
        cpu: Declared CPU in millicores.
        memory_gib: Declared memory.
        run_s: Median run time without slowdown.
        deadline_s: Time from submission to deadline, if there is one.
        arrivals_per_worker_s: Tasks submitted each second, per worker.
        can_checkpoint: Whether progress survives an eviction.
        urgent: Whether the tasks have urgent priority.
        interference: Factor on the interference that the tasks cause.
        is_noisy: Whether the tasks are submitted only in waves, as a noisy neighbour.
    """

    name: str
    tenant: TenantName
    cpu: int
    memory_gib: int
    run_s: float
    deadline_s: float | None
    arrivals_per_worker_s: float
    can_checkpoint: bool = True
    urgent: bool = False
    interference: float = 1
    is_noisy: bool = False


@dataclass(frozen=True)
class DeploymentShape:
    """Zones, workers, task kinds and placement weights of one deployment."""

    name: str
    zones: tuple[str, ...]
    workers: int
    service: str
    kinds: tuple[KindSpec, ...]
    weights: PlacementWeights
    #: Share of the batch capacity that one tenant may use.
    quota_share: float = 0.6
    service_size: Resources = field(default=Resources(5000, 16 * GIB))


@dataclass
class Job:
    """One task with its declared and actual sizes.

    Attributes:
        number: Unique number of the task.
        spec: Kind of the task.
        arrival_s: Time of submission.
        declared: Declared resources.
        actual_cpu: CPU that the task really demands, in millicores.
        run_s: Actual run time without slowdown.
        declared_run_s: Declared run time.
        done_s: Completed part of the run time.
        share: Share of the demanded CPU that the task may use; below 1 if throttled.
        queued_s: Time at which the task was last queued.
        started_s: Time at which the task last started.
    """

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


def _create_kind(
    name: str, tenant: str, *args: float | None, **kwargs: object
) -> KindSpec:
    return KindSpec(name, TenantName(tenant), *args, **kwargs)  # type: ignore[arg-type]


# Without slowdown, arrivals use about 85% of the CPU left over by services, so
# interference determines whether the queue grows.
QUIMPERLE = DeploymentShape(
    'quimperle',
    ('laita', 'kerbertrand', 'isole'),
    24,
    'compteurs',
    (
        _create_kind('readings', 'field', 1000, 2, 20, 90, 0.10, can_checkpoint=False),
        _create_kind('recalculation', 'billing', 2000, 6, 90, 600, 0.021),
        _create_kind('leakwatch', 'network', 500, 1, 60, 120, 0.035, urgent=True),
        _create_kind('archive', 'billing', 1500, 4, 60, None, 0.018, interference=5),
        _create_kind(
            'bulk', 'network', 1500, 2, 40, 300, 0.05, interference=8, is_noisy=True
        ),
    ),
    PlacementWeights(tail_latency=1, batch_throughput=3, zone_work=3),
)
LAMPHUN = DeploymentShape(
    'lamphun',
    ('th-north-a', 'th-north-b', 'th-north-c', 'th-north-d'),
    34,
    'orderdesk',
    (
        _create_kind('cutting', 'factory', 2000, 4, 80, 400, 0.022),
        _create_kind('stock', 'store', 1500, 6, 100, 900, 0.020),
        _create_kind('pricing', 'sales', 500, 1, 15, 45, 0.12, False, True),
        _create_kind('report', 'store', 1500, 3, 50, None, 0.022, interference=5),
        _create_kind(
            'bulk', 'sales', 1500, 2, 40, 300, 0.05, interference=8, is_noisy=True
        ),
    ),
    PlacementWeights(tail_latency=3, batch_throughput=1, zone_work=1),
)


def submissions(
    shape: DeploymentShape, duration_s: int, scenario: str, rng: np.random.Generator
) -> list[list[Job]]:
    """Returns the jobs submitted in each second."""
    arrivals = []
    number = 0
    for now in range(duration_s):
        jobs = []
        for spec in shape.kinds:
            rate = (
                spec.arrivals_per_worker_s
                * shape.workers
                * _rate_factor(spec, scenario, now)
            )
            for _ in range(int(rng.poisson(rate))):
                number += 1
                jobs.append(_create_job(number, spec, now, scenario, rng))
        arrivals.append(jobs)
    return arrivals


def _rate_factor(spec: KindSpec, scenario: str, now: int) -> float:
    if spec.is_noisy:
        in_wave = scenario == 'noisy_waves' and now % 120 >= 80
        return float(in_wave)
    if scenario == 'backlog':
        return 1.8
    if scenario == 'load_shift' and now >= 200:
        # More tasks of the kinds that cause strong interference, fewer of the others.
        return 2 if spec.interference > 1 else 0.9
    return 1


def _create_job(
    number: int, spec: KindSpec, now: int, scenario: str, rng: np.random.Generator
) -> Job:
    run_s = spec.run_s * float(rng.lognormal(0, 0.25))
    cpu_factor, run_factor = 1.0, 1.0
    has_wrong_size = float(rng.random()) < 0.3
    wrong_factors = rng.uniform(1.2, 2.5), rng.uniform(0.3, 4)
    if scenario == 'wrong_sizes' and has_wrong_size:
        cpu_factor, run_factor = map(float, wrong_factors)
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
    """Returns the deadline of a job on the monotonic clock."""
    if job.spec.deadline_s is None:
        return None
    return timedelta(seconds=job.arrival_s + job.spec.deadline_s)
