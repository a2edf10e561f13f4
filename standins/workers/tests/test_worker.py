"""Guards against tasks that run without a lease, twice, or on stale orders."""

import json
from datetime import timedelta

import pytest

from chiveworks.base import Attempt, Epoch, ManualClock, Resources, TaskId, TicketMs
from chiveworks.workers import (
    RefusalReason,
    Renewal,
    ReportedState,
    StartOrder,
    StopCause,
)
from standins.workers import SimulatedWorker, WorkerSpec

LEASE_MS = 15_000
TASK = TaskId('t')


class Bench:
    """A worker with a clock, and short forms of its commands."""

    def __init__(self):
        self.clock = ManualClock()
        self.worker = SimulatedWorker(WorkerSpec('w'), self.clock)

    def renew(self, ticket=None, acknowledged=(), epoch=1):
        quoted = self.worker.ticket() if ticket is None else ticket
        renewal = Renewal('o', Epoch(epoch), LEASE_MS, TicketMs(quoted), acknowledged)
        return self.worker.renew(renewal).map(lambda report: report.to_message())

    def start(self, task=TASK, attempt=1, ticket=None, epoch=1, **fields):
        quoted = self.worker.ticket() if ticket is None else ticket
        payload = json.dumps({'duration_ms': fields.pop('duration_ms', 300)})
        order = StartOrder(
            Epoch(epoch),
            TicketMs(quoted),
            TaskId(task),
            Attempt(attempt),
            fields.pop('kind', 'k'),
            payload,
            Resources(1000, 10),
            **fields,
        )
        return self.worker.start(order)

    def wait(self, milliseconds):
        self.clock.shift(timedelta(milliseconds=milliseconds))


@pytest.fixture
def bench():
    return Bench()


def test_start_needs_lease_fresh_ticket_and_current_epoch(bench):
    assert bench.start().unwrap_err().reason is RefusalReason.NOT_LEASED
    bench.renew(epoch=5)
    ticket = bench.worker.ticket()
    assert bench.start(epoch=4).unwrap_err().reason is RefusalReason.STALE_EPOCH
    future = bench.start(epoch=5, ticket=ticket + 1)
    assert future.unwrap_err().reason is RefusalReason.STALE_TICKET
    bench.wait(2000)
    assert bench.start(epoch=5, ticket=ticket).is_ok()
    bench.wait(1)
    stale = bench.start(task='u', epoch=5, ticket=ticket)
    assert stale.unwrap_err().reason is RefusalReason.STALE_TICKET
    assert bench.renew(epoch=4).unwrap_err().epoch == 5


def test_delayed_renewal_does_not_extend_the_lease(bench):
    ticket = bench.worker.ticket()
    bench.renew(ticket)
    bench.wait(10_000)
    assert bench.renew(ticket).unwrap().lease_left_ms == 5_000
    assert bench.renew(0).unwrap().lease_left_ms == 5_000
    bench.wait(5_000)
    assert bench.renew(ticket).unwrap().lease_left_ms == 0
    assert bench.start().unwrap_err().reason is RefusalReason.NOT_LEASED


def test_lapse_stops_tasks_at_the_lease_end_and_keeps_the_checkpoint(bench):
    bench.renew()
    bench.start(duration_ms=60_000)
    bench.wait(40_000)
    task = bench.renew().unwrap().tasks[0]
    assert (task.state, task.cause) == (ReportedState.STOPPED, StopCause.LEASE)
    assert task.checkpoint == '15000'
    starts_and_ends = bench.worker.log.events
    assert starts_and_ends[1].at_ms - starts_and_ends[0].at_ms == LEASE_MS


def test_attempt_runs_once_and_is_reported_until_acknowledged(bench):
    bench.renew()
    bench.start()
    assert bench.start().unwrap_err().reason is RefusalReason.ALREADY_STARTED
    bench.wait(300)
    for _ in range(2):
        task = bench.renew().unwrap().tasks[0]
        assert task.state is ReportedState.FINISHED
    assert json.loads(task.result)['attempt'] == 1
    assert not bench.renew(acknowledged=((TASK, Attempt(1)),)).unwrap().tasks
    assert bench.start().unwrap_err().reason is RefusalReason.ALREADY_STARTED


def test_task_resumes_from_its_checkpoint(bench):
    bench.renew()
    bench.start(duration_ms=1000)
    bench.wait(450)
    assert bench.worker.stop(Epoch(1), TASK, Attempt(1), checkpoint=True).is_ok()
    stopped = bench.renew().unwrap().tasks[0]
    assert (stopped.checkpoint, stopped.cause) == ('450', StopCause.COMMAND)
    bench.start(attempt=2, duration_ms=1000, checkpoint=stopped.checkpoint)
    bench.wait(549)
    assert bench.renew().unwrap().tasks[1].state is ReportedState.RUNNING
    bench.wait(1)
    assert bench.renew().unwrap().tasks[1].state is ReportedState.FINISHED


def test_usage_arrives_late_and_shows_interference(bench):
    bench.renew()
    bench.start(duration_ms=9000, kind='a')
    bench.start(task='u', duration_ms=9000, kind='b')
    bench.wait(2900)
    assert not bench.renew().unwrap().usage
    bench.wait(1200)
    usage = bench.renew().unwrap().usage
    assert {sample.task_id for sample in usage} == {'t', 'u'}
    assert all(sample.age_ms >= 3000 and sample.slowdown > 1 for sample in usage)


def test_overrides_show_in_the_report_and_the_greatest_size(bench):
    bench.renew()
    bench.start(duration_ms=9000)
    assert bench.worker.override_resize(TASK, 20_000)
    assert bench.renew().unwrap().tasks[0].allotted.cpu_millicores == 20_000
    assert bench.worker.override_stop(TASK)
    assert bench.renew().unwrap().tasks[0].cause is StopCause.MANUAL
    assert bench.worker.log.greatest.cpu_millicores == 20_000
    assert bench.worker.log.committed == Resources()


def test_restart_changes_the_boot_id_and_loses_tasks_unless_kept(bench):
    before = bench.renew().unwrap()
    bench.start(duration_ms=9000)
    bench.worker.restart(keep_tasks=True)
    kept = bench.renew().unwrap()
    assert kept.boot_id != before.boot_id
    assert len(kept.tasks) == 1
    bench.worker.restart(keep_tasks=False)
    lost = bench.renew(0).unwrap()
    assert (lost.tasks, lost.lease_left_ms) == ((), 0)
    assert bench.worker.log.events[-1].cause == 'restart'
