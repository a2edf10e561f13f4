"""State machine test that adds manual overrides and their resolution to the faults.

Guards against two copies of a task and overcommitted workers after a manual stop
or resize, against held tasks that no decision can release, and against overrides
that outlive their task.
"""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from chiveworks.membership import OverrideAction, OverrideResolution
from chiveworks.scheduler.tests.shard_bench import TASK
from chiveworks.scheduler.tests.test_shard_machine import (
    ENTRIES,
    INDEX,
    ZONES,
    ShardMachine,
)

_ROUNDS = 6


class OverrideMachine(ShardMachine):
    def __init__(self) -> None:
        super().__init__()
        self.overridden = set()

    @initialize()
    def begin(self):
        super().begin()
        for number, entry in enumerate(sorted(ENTRIES)):
            self.submit(entry, ZONES[number % len(ZONES)], 3, 40_000)
        self.wait(4.0)

    def running(self, worker, pick):
        name = sorted(self.bench.workers)[worker % len(self.bench.workers)]
        simulated = self.bench.workers[name]
        simulated.advance_to_now()
        runs = simulated.table.running()
        return simulated, runs[pick % len(runs)].task_id if runs else None

    def mark_overridden(self, task_id):
        self.overridden.add(task_id.rpartition('/')[0])

    @rule(worker=INDEX, pick=INDEX)
    def stop_by_hand(self, worker, pick):
        simulated, task_id = self.running(worker, pick)
        if task_id:
            self.mark_overridden(task_id)
            simulated.override_stop(task_id)

    @rule(worker=INDEX, pick=INDEX, share=st.sampled_from((0.25, 0.5, 1)))
    def shrink_by_hand(self, worker, pick, share):
        simulated, task_id = self.running(worker, pick)
        if task_id:
            self.mark_overridden(task_id)
            simulated.override_resize(task_id, int(TASK.cpu_millicores * share))

    @rule(action=st.sampled_from(OverrideAction), pick=INDEX)
    def resolve(self, action, pick):
        overrides = self.overrides()
        if overrides:
            self.decide(*overrides[pick % len(overrides)], action)

    def overrides(self):
        return [
            (process, override_id)
            for zone in ZONES
            for process in self.bench.owners_of(zone)
            for override_id in process.candidate._parts.service._context.table.overrides
        ]

    def decide(self, process, override_id, action):
        handler = process.local.handler_of(process.zone)
        resolution = OverrideResolution(override_id, action, 'ana')
        self.run(self.bench.drive(handler.resolve_override(resolution), 3))

    def strict_ids(self):
        # Reverting a stop lets the task run again; that is the operator's decision.
        return super().strict_ids() - self.overridden

    def check_outcome(self, job):
        if job.job_id not in self.overridden:
            super().check_outcome(job)

    def teardown(self):
        try:
            self.check()
            self.heal()
            for _ in range(_ROUNDS):
                self.run(self.bench.advance(25, 0.5))
                for process, override_id in self.overrides():
                    self.decide(process, override_id, OverrideAction.REVERT)
            assert not self.overrides()
        except BaseException:
            self.run(self.bench.stop())
            self.loop.close()
            raise
        super().teardown()


OverrideMachine.TestCase.settings = settings(
    max_examples=20,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestOverrideMachine = OverrideMachine.TestCase
