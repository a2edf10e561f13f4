"""Compares what the ledger counts with a sum over all tasks."""

from collections import Counter
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chiveworks.accounts import AccountUsage
from chiveworks.base import AccountName, JobId, Resources, WorkerId, ZoneName
from chiveworks.dispatch import WorkerInfo
from chiveworks.dispatch._claim_ledger import ClaimLedger
from chiveworks.dispatch._worker_lease import WorkerLease
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.workflow import Job, JobSpec, QueuePolicy, StepSpec, Submission

ACCOUNTS = ('', 'a', 'b')
SERVICES = ('pool', 'other')
WORKERS, TASKS = 3, 6
CHECKED = settings(max_examples=200, deadline=None, derandomize=True)
OPERATIONS = ('add', 'remove', 'reserve', 'free_reservation', 'hold', 'drop')


def job(number, account):
    spec = StepSpec(TASKS // 2, Resources(1000 + number, 10 * number, number % 2))
    queue = QueuePolicy('q', SERVICES[number % 2])
    submission = Submission(
        JobId(f'j{number}'), queue, JobSpec('', (spec,)), account=AccountName(account)
    )
    return Job(submission, timedelta())


def worker(number, ledger):
    name = WorkerId(f'w{number}')
    info = WorkerInfo(name, 'pool', name, ZoneName('z'), False, Resources(9, 9))
    return WorkerView(info, None, WorkerLease(timedelta(), timedelta()), ledger)


@CHECKED
@given(
    st.lists(
        st.tuples(
            st.sampled_from(OPERATIONS),
            st.integers(0, WORKERS - 1),
            st.integers(0, len(ACCOUNTS) * TASKS - 1),
        ),
        max_size=80,
    )
)
def test_the_ledger_equals_a_sum_over_all_tasks(operations):
    """Guards against a task that counts twice, not at all, or for ever after runs,
    reservations and runs without a known worker in any order."""
    ledger = ClaimLedger()
    workers = [worker(number, ledger) for number in range(WORKERS)]
    tasks = [
        task
        for number in range(2 * len(ACCOUNTS))
        for task in job(number, ACCOUNTS[number // 2]).open_occurrence(0)[0].tasks
    ]
    orphans = set()
    for operation, at, position in operations:
        task = tasks[position]
        if operation == 'hold':
            if task not in orphans:
                orphans.add(task)
                ledger.hold(task)
        elif operation == 'drop':
            if task in orphans:
                orphans.remove(task)
                ledger.drop(task)
        else:
            if operation == 'add' and task.ref in workers[at].tasks:
                continue
            getattr(workers[at], operation)(task)
        counted = [
            each
            for each in tasks
            if each in orphans
            or any(each.ref in w.tasks or each.ref in w.reservations for w in workers)
        ]
        check(ledger, counted, tasks)


def check(ledger, counted, tasks):
    for account in ACCOUNTS[1:]:
        own = [task for task in counted if task.step_run.job.account == account]
        assert ledger.usage.used(account) == total(own)
        assert ledger.usage.count(account) == len(own)
        for service in SERVICES:
            there = [t for t in own if t.step_run.job.queue.service == service]
            assert ledger.by_service[service].used(account) == total(there)
    assert set(ledger.usage) == {t.step_run.job.account for t in counted} - {''}
    assert not ledger.usage.count('')
    held = Counter(task.step_run for task in counted if task.step_run.job.account)
    assert all(ledger.held(task.step_run) == held[task.step_run] for task in tasks)


def total(tasks):
    return sum((task.spec.demand for task in tasks), Resources())


def test_an_end_without_a_claim_is_an_error():
    """Guards against totals that fall below what is running."""
    with pytest.raises(ValueError, match='account a'):
        AccountUsage().remove(AccountName('a'), Resources(1))
