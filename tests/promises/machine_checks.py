"""Hypothesis state machines that drive the real scheduler and configuration code."""

import asyncio
import inspect
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RULE_MARKER,
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from chiveworks.catalogue.tests.test_replica import ReplicaMachine
from chiveworks.membership.tests.test_config_machine import ConfigMachine
from chiveworks.scheduler.tests.shard_bench import CAPACITY
from chiveworks.scheduler.tests.test_shard_machine import (
    INDEX,
    TIMINGS,
    ZONES,
    ShardMachine,
)
from tests.promises import model
from tests.promises.check import check
from tests.promises.fault_bench import FaultBench
from tests.promises.promise import Promise
from tests.promises.promise_violation import PromiseViolationError
from tests.promises.tally import Tally

#: Rules that are neither an operation nor a fault.
_NEUTRAL = frozenset(('wait', 'thaw', 'push', 'pull', 'exchange', 'read_store'))


class PromiseMachine(ShardMachine):
    """The shard machine with delayed commands, checked by the reference model."""

    def __init__(self) -> None:
        super().__init__()
        self.bench = FaultBench(zones=ZONES, timings=TIMINGS, loop=self.loop)
        self.start_in_flight_ms = 0.0

    @rule(
        index=INDEX,
        name=st.sampled_from(('start', 'stop', 'renew')),
        seconds=st.sampled_from((0.5, 1.9, 3, 14)),
    )
    def hold_command(self, index: int, name: str, seconds: float) -> None:
        process = self.bench.processes[index % len(self.bench.processes)]
        self.bench.interceptor_of(process).delivery_delays_s[name] = seconds
        if name == 'start':
            limit = TIMINGS.ticket_max_age
            self.start_in_flight_ms = limit / timedelta(milliseconds=1)

    @rule(worker=INDEX)
    def restart_worker_with_tasks(self, worker: int) -> None:
        names = sorted(self.bench.workers)
        self.bench.workers[names[worker % len(names)]].restart(keep_tasks=True)

    def check(self) -> None:
        runs = model.runs_of(self.bench.workers)
        found = {
            Promise.CAPACITY: model.overcommitted(self.bench.workers, CAPACITY),
            Promise.ONCE_AT_A_TIME: model.overlapping(runs),
            Promise.AT_MOST_ONCE: model.ran_again(
                runs,
                {
                    run.task_id
                    for run in runs
                    if run.task_id.rpartition('/')[0] in self.strict_ids()
                },
            ),
            Promise.CANCELLATION: model.started_after_cancellation(
                runs, self.cancelled_ms, self.start_in_flight_ms
            ),
            Promise.ZONE_OUT: [
                one
                for zone, spans in self.out_spans.items()
                for one in model.late_starts(runs, zone, map(tuple, spans))
            ],
        }
        for promise, messages in found.items():
            if messages:
                raise PromiseViolationError(promise, messages[0])

    def heal(self) -> None:
        self.bench.heal()
        for zone in ZONES:
            self.switch_zone(zone, out=False)


def counted(
    machine: type[RuleBasedStateMachine], tally: Tally, operations: set[str]
) -> type[RuleBasedStateMachine]:
    """Returns a subclass that counts each executed rule as an operation or a fault."""
    members = {}
    for name, member in inspect.getmembers(machine):
        marker = getattr(member, RULE_MARKER, None)
        if marker is None:
            continue
        rebuilt = rule(**marker.arguments)(
            _counting(marker.function, name, tally, operations)
        )
        for condition in marker.preconditions:
            rebuilt = precondition(condition)(rebuilt)
        members[name] = rebuilt
    return type(f'Counted{machine.__name__}', (machine,), members)


def _counting(
    function: Callable[..., Any], name: str, tally: Tally, operations: set[str]
) -> Callable[..., Any]:
    def count(self: RuleBasedStateMachine, *given: Any, **drawn: Any) -> Any:
        # Hypothesis passes the drawn arguments by keyword, the machine's own calls
        # pass theirs by position; the latter are not counted as faults.
        if name in operations:
            tally.operations()
        elif not given and name not in _NEUTRAL:
            tally.fault(name)
        return function(self, *given, **drawn)

    count.__name__ = name
    return count


def _run(machine: type[RuleBasedStateMachine], examples: int, steps: int) -> None:
    # No shrinking: mutants must be caught quickly, and the report of a real fault
    # lists its steps anyway.
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=True,
            deadline=None,
            database=None,
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
            report_multiple_bugs=False,
        ),
    )


@check(
    Promise.ONCE_AT_A_TIME,
    Promise.CAPACITY,
    Promise.EVICTION,
    Promise.ZONE_OUT,
    Promise.CANCELLATION,
    takes_seed_count=True,
)
def shards_under_drawn_faults(tally: Tally, rng: random.Random, seeds: int) -> None:
    """Two zones under faults of all kinds, which hypothesis draws."""
    machine = counted(PromiseMachine, tally, {'submit', 'cancel'})
    _run(machine, seeds, 30)


@check(Promise.CONFIGURATION, takes_seed_count=True)
def replicas_under_any_order(tally: Tally, rng: random.Random, seeds: int) -> None:
    """Replicas that receive items in any order hold the latest of those seen."""
    _run(counted(ReplicaMachine, tally, {'write'}), 4 * seeds, 40)


@check(Promise.CONFIGURATION, takes_seed_count=True)
def relays_under_any_order(tally: Tally, rng: random.Random, seeds: int) -> None:
    """Pushes, exchanges, watch answers, restarts and lost connections in any order."""
    asyncio.set_event_loop(None)
    _run(counted(ConfigMachine, tally, {'change'}), 4 * seeds, 40)
