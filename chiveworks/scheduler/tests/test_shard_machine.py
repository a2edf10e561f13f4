"""State machine test that injects faults chosen by hypothesis into shards.

Guards against overlapping attempts, overcommitted workers, late starts in a zone
that is out of service, second runs of tasks that must run at most once, starts of
cancelled tasks, and accepted jobs that never end.
"""

import asyncio
from datetime import timedelta

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule
from result import Ok

from chiveworks.base import ZoneName
from chiveworks.catalogue import ZoneState
from chiveworks.jobs import job_id_of
from chiveworks.membership import JobState
from chiveworks.scheduler import SchedulerTimings
from chiveworks.scheduler.tests.shard_bench import ShardBench

ZONES = (ZoneName('laita'), ZoneName('isole'))
START_LIMIT_MS = 3000
TIMINGS = SchedulerTimings(store_outage_tolerance=timedelta(seconds=20))
ENTRIES = {
    'idempotent': {'idempotent': True, 'can_checkpoint': True},
    'resumable': {'idempotent': False, 'can_checkpoint': True},
    'strict': {'idempotent': False, 'can_checkpoint': False},
}
INDEX = st.integers(0, 3)


class ShardMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        # Killed processes leave pending asyncio tasks behind, as intended.
        self.loop.set_exception_handler(lambda _loop, _context: None)
        self.bench = ShardBench(zones=ZONES, timings=TIMINGS, loop=self.loop)
        self.submitted = {}
        self.accepted = {}
        self.cancelled_ms = {}
        # A cancellation without an answer may have taken effect.
        self.asked_to_cancel = set()
        self.out_spans: dict[str, list[list[float]]] = {zone: [] for zone in ZONES}

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def now_ms(self) -> float:
        return self.bench.clock.monotonic() / timedelta(milliseconds=1)

    @initialize()
    def begin(self):
        async def start():
            await self.bench.start()
            for name, fields in ENTRIES.items():
                await self.bench.put_entry(name, **fields)
            await self.bench.advance(1, 0.25)

        self.run(start())

    @rule(
        entry=st.sampled_from(sorted(ENTRIES)),
        zone=st.sampled_from(ZONES),
        count=st.integers(1, 5),
        ms=st.sampled_from((200, 2000, 9000)),
    )
    def submit(self, entry, zone, count, ms):
        owners = self.bench.owners_of(zone)
        if not owners:
            return
        key = f'job-{len(self.submitted)}'
        submission = self.bench.submission(key, count, entry, ms)
        self.submitted[key] = submission
        handler = owners[0].local.handler_of(zone)
        answer = self.run(self.bench.drive(handler.register(submission), 3))
        if isinstance(answer, Ok):
            self.accepted[key] = submission

    @rule(seconds=st.sampled_from((0.3, 1.0, 4.0, 10.0)))
    def wait(self, seconds):
        self.run(self.bench.advance(seconds, 0.25))

    @rule(index=INDEX)
    def freeze(self, index):
        self.bench.processes[index % len(self.bench.processes)].gate.freeze()

    @rule()
    def thaw(self):
        for process in self.bench.processes:
            process.gate.thaw()

    @rule(zone=st.sampled_from(ZONES))
    def kill_owner(self, zone):
        for owner in self.bench.owners_of(zone):
            self.bench.kill(owner)
            self.bench.add_process(zone)

    @rule(index=INDEX, outage=st.booleans())
    def cut_from_store(self, index, outage):
        process = self.bench.processes[index % len(self.bench.processes)]
        process.store.faults.outage = outage

    @rule(index=INDEX, delay_ms=st.sampled_from((0, 60, 400, 1500)))
    def slow_store(self, index, delay_ms):
        process = self.bench.processes[index % len(self.bench.processes)]
        process.store.faults.delay_ms = delay_ms

    @rule(index=INDEX, count=st.integers(1, 3))
    def lose_store_answers(self, index, count):
        process = self.bench.processes[index % len(self.bench.processes)]
        process.store.faults.drop_answer_next = count

    @rule(index=INDEX, count=st.integers(1, 3), worker=INDEX)
    def lose_worker_answers(self, index, count, worker):
        process = self.bench.processes[index % len(self.bench.processes)]
        name = sorted(process.controls)[worker % len(process.controls)]
        process.controls[name].drop_answers = count

    @rule(index=INDEX, worker=INDEX, unreachable=st.booleans())
    def cut_from_worker(self, index, worker, unreachable):
        process = self.bench.processes[index % len(self.bench.processes)]
        name = sorted(process.controls)[worker % len(process.controls)]
        process.controls[name].unreachable = unreachable

    @rule(worker=INDEX)
    def restart_worker(self, worker):
        names = sorted(self.bench.workers)
        self.bench.workers[names[worker % len(names)]].restart(keep_tasks=False)

    @rule(zone=st.sampled_from(ZONES), out=st.booleans())
    def switch_zone(self, zone, out):
        state = ZoneState.OUT if out else ZoneState.IN_SERVICE
        self.run(self.bench.set_zone(zone, state))
        spans = self.out_spans[zone]
        is_out = bool(spans) and spans[-1][1] == float('inf')
        if out and not is_out:
            spans.append([self.now_ms(), float('inf')])
        elif not out and is_out:
            spans[-1][1] = self.now_ms()

    @precondition(lambda self: self.accepted)
    @rule(data=st.data())
    def cancel(self, data):
        key = data.draw(st.sampled_from(sorted(self.accepted)))
        job_id = job_id_of(self.accepted[key])
        for zone in ZONES:
            for owner in self.bench.owners_of(zone):
                handler = owner.local.handler_of(zone)
                if handler is None:
                    # This process lost the shard while another owner was called.
                    continue
                self.asked_to_cancel.add(job_id)
                answer = self.run(self.bench.drive(handler.cancel(job_id), 3))
                if isinstance(answer, Ok):
                    self.cancelled_ms.setdefault(job_id, self.now_ms())
                    return

    def check(self):
        self.bench.check_capacity()
        self.bench.check_no_concurrent_runs()
        for task_id, runs in self.bench.runs().items():
            job_id = task_id.rpartition('/')[0]
            started = [began for began, _, _ in runs]
            if job_id in self.strict_ids():
                assert len(runs) == 1, (task_id, runs)
            if job_id in self.cancelled_ms:
                assert max(started) <= self.cancelled_ms[job_id], (task_id, runs)
        for zone, spans in self.out_spans.items():
            for name, worker in self.bench.workers.items():
                if name.startswith(f'{zone}-'):
                    self.check_starts(worker, spans)

    def check_starts(self, worker, spans):
        for event in worker.log.events:
            if event.event == 'start':
                for began, ended in spans:
                    assert not began + START_LIMIT_MS < event.at_ms < ended

    def strict_ids(self):
        return {
            job_id_of(one) for one in self.submitted.values() if one.entry == 'strict'
        }

    def heal(self):
        for process in self.bench.processes:
            process.gate.thaw()
            process.store.faults.outage = False
            process.store.faults.drop_answer_next = 0
            process.store.faults.delay_ms = 0
            for control in process.controls.values():
                control.unreachable = False
                control.drop_answers = 0
        for zone in ZONES:
            self.switch_zone(zone, out=False)

    def teardown(self):
        try:
            self.check()
            self.heal()
            self.run(self.bench.advance(100, 0.5))
            self.check()
            for key, submission in self.accepted.items():
                job = self.run(self.bench.job(submission))
                assert job.is_final, (key, job)
                self.check_outcome(job)
        finally:
            self.run(self.bench.stop())
            self.loop.close()

    def check_outcome(self, job):
        cancelled = job.job_id in self.cancelled_ms
        strict = job.job_id in self.strict_ids()
        if not cancelled and not strict:
            allowed = {JobState.FINISHED}
            if job.job_id in self.asked_to_cancel:
                allowed.add(JobState.CANCELLED)
            assert job.state in allowed, job
        for task in job.tasks:
            if task.state.value == 'finished':
                # The recorded result must come from the current attempt.
                assert f'"attempt": {task.attempt}' in task.result, task


ShardMachine.TestCase.settings = settings(
    max_examples=25,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
    # Shrinking takes longer than the time limit of a test and is run manually.
    phases=(Phase.explicit, Phase.generate),
)
TestShardMachine = ShardMachine.TestCase
