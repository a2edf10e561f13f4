"""Tests that no task runs without a lease, twice, or after a stale command."""

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


class WorkerHarness:
    """A worker with a manual clock and short forms of its commands."""

    def __init__(self):
        self.clock = ManualClock()
        self.worker = SimulatedWorker(WorkerSpec('w'), self.clock)

    def renew(self, ticket=None, acknowledged=(), epoch=1):
        sent_ticket = self.worker.ticket() if ticket is None else ticket
        renewal = Renewal(
            'o', Epoch(epoch), LEASE_MS, TicketMs(sent_ticket), acknowledged
        )
        return self.worker.renew(renewal).map(lambda report: report.to_message())

    def start(self, task=TASK, attempt=1, ticket=None, epoch=1, **fields):
        sent_ticket = self.worker.ticket() if ticket is None else ticket
        payload = json.dumps({'duration_ms': fields.pop('duration_ms', 300)})
        order = StartOrder(
            Epoch(epoch),
            TicketMs(sent_ticket),
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
def harness():
    return WorkerHarness()


def test_start_needs_lease_fresh_ticket_and_current_epoch(harness):
    assert harness.start().unwrap_err().reason is RefusalReason.NOT_LEASED
    harness.renew(epoch=5)
    ticket = harness.worker.ticket()
    assert harness.start(epoch=4).unwrap_err().reason is RefusalReason.STALE_EPOCH
    future = harness.start(epoch=5, ticket=ticket + 1)
    assert future.unwrap_err().reason is RefusalReason.STALE_TICKET
    harness.wait(2000)
    assert harness.start(epoch=5, ticket=ticket).is_ok()
    harness.wait(1)
    stale = harness.start(task='u', epoch=5, ticket=ticket)
    assert stale.unwrap_err().reason is RefusalReason.STALE_TICKET
    assert harness.renew(epoch=4).unwrap_err().epoch == 5


def test_delayed_renewal_does_not_extend_the_lease(harness):
    ticket = harness.worker.ticket()
    harness.renew(ticket)
    harness.wait(10_000)
    assert harness.renew(ticket).unwrap().lease_left_ms == 5_000
    assert harness.renew(0).unwrap().lease_left_ms == 5_000
    harness.wait(5_000)
    assert harness.renew(ticket).unwrap().lease_left_ms == 0
    assert harness.start().unwrap_err().reason is RefusalReason.NOT_LEASED


def test_lease_expiry_stops_tasks_and_keeps_the_checkpoint(harness):
    harness.renew()
    harness.start(duration_ms=60_000)
    harness.wait(40_000)
    task = harness.renew().unwrap().tasks[0]
    assert (task.state, task.cause) == (ReportedState.STOPPED, StopCause.LEASE)
    assert task.checkpoint == '15000'
    starts_and_ends = harness.worker.log.events
    assert starts_and_ends[1].at_ms - starts_and_ends[0].at_ms == LEASE_MS


def test_attempt_runs_once_and_is_reported_until_acknowledged(harness):
    harness.renew()
    harness.start()
    assert harness.start().unwrap_err().reason is RefusalReason.ALREADY_STARTED
    harness.wait(300)
    for _ in range(2):
        task = harness.renew().unwrap().tasks[0]
        assert task.state is ReportedState.FINISHED
    assert json.loads(task.result)['attempt'] == 1
    assert not harness.renew(acknowledged=((TASK, Attempt(1)),)).unwrap().tasks
    assert harness.start().unwrap_err().reason is RefusalReason.ALREADY_STARTED


def test_task_resumes_from_its_checkpoint(harness):
    harness.renew()
    harness.start(duration_ms=1000)
    harness.wait(450)
    assert harness.worker.stop(Epoch(1), TASK, Attempt(1), checkpoint=True).is_ok()
    stopped = harness.renew().unwrap().tasks[0]
    assert (stopped.checkpoint, stopped.cause) == ('450', StopCause.COMMAND)
    harness.start(attempt=2, duration_ms=1000, checkpoint=stopped.checkpoint)
    harness.wait(549)
    assert harness.renew().unwrap().tasks[1].state is ReportedState.RUNNING
    harness.wait(1)
    assert harness.renew().unwrap().tasks[1].state is ReportedState.FINISHED


def test_usage_arrives_late_and_shows_interference(harness):
    harness.renew()
    harness.start(duration_ms=9000, kind='a')
    harness.start(task='u', duration_ms=9000, kind='b')
    harness.wait(2900)
    assert not harness.renew().unwrap().usage
    harness.wait(1200)
    usage = harness.renew().unwrap().usage
    assert {sample.task_id for sample in usage} == {'t', 'u'}
    assert all(sample.age_ms >= 3000 and sample.slowdown > 1 for sample in usage)


def test_overrides_appear_in_the_report_and_the_peak_commitment(harness):
    harness.renew()
    harness.start(duration_ms=9000)
    assert harness.worker.override_resize(TASK, 20_000)
    assert harness.renew().unwrap().tasks[0].allotted.cpu_millicores == 20_000
    assert harness.worker.override_stop(TASK)
    assert harness.renew().unwrap().tasks[0].cause is StopCause.MANUAL
    assert harness.worker.log.greatest.cpu_millicores == 20_000
    assert harness.worker.log.committed == Resources()


def test_restart_changes_the_boot_id_and_loses_tasks_unless_kept(harness):
    before = harness.renew().unwrap()
    harness.start(duration_ms=9000)
    harness.worker.restart(keep_tasks=True)
    kept = harness.renew().unwrap()
    assert kept.boot_id != before.boot_id
    assert len(kept.tasks) == 1
    harness.worker.restart(keep_tasks=False)
    lost = harness.renew(0).unwrap()
    assert (lost.tasks, lost.lease_left_ms) == ((), 0)
    assert harness.worker.log.events[-1].cause == 'restart'
