"""Gauges and histograms of the event metrics."""

from datetime import timedelta

from chiveworks.events import EventMetrics


def gauges(runs_of_ended_jobs):
    metrics = EventMetrics('p', 'z', dict, lambda: runs_of_ended_jobs)
    lines = metrics.render().decode().splitlines()
    return [line for line in lines if line.startswith('chiveworks_')]


def test_runs_of_ended_jobs_are_counted_with_the_oldest_end():
    """Guards against runs of cancelled jobs that no metric shows, and against samples
    of processes that do not lead and so know of no runs."""
    assert gauges([timedelta(milliseconds=40), timedelta(seconds=7)]) == [
        'chiveworks_runs_of_ended_jobs{zone="z"} 2.0',
        'chiveworks_oldest_unfinished_job_end_milliseconds{zone="z"} 7000.0',
    ]
    assert [line[-4:] for line in gauges([])] == [' 0.0', ' 0.0']
    assert gauges(None) == []


def test_only_claims_count_as_waits():
    """Guards against a histogram of waits that counts a task that still waits once a
    second, and against a queue label on the counter of events."""
    metrics = EventMetrics('p', 'z', dict, lambda: None)
    metrics.observe('task_claimed', {'queue': 'q', 'waited_ms': 7, 'waiting_ms': 5})
    metrics.observe('task_passed_over', {'queue': 'q', 'waited_ms': 9000})
    metrics.observe('run_started', {'queue': 'q'})
    lines = metrics.render().decode().splitlines()
    waits = [line for line in lines if line.startswith('chiveworks_task_wait')]
    assert 'chiveworks_task_wait_milliseconds_count{queue="q",zone="z"} 1.0' in waits
    assert 'chiveworks_task_wait_milliseconds_sum{queue="q",zone="z"} 7.0' in waits
    counters = [line for line in lines if line.startswith('chiveworks_events')]
    assert len(counters) == 3
    assert not any('queue' in line for line in counters)


def test_claims_and_waits_are_shown_by_account():
    """Guards against operators who cannot see which account uses the workers."""
    metrics = EventMetrics(
        'p', 'z', dict, lambda: None, lambda: {'a': 4000}, lambda: {'a': 7, 'b': 1}
    )
    lines = metrics.render().decode().splitlines()
    assert [line for line in lines if line.startswith('chiveworks_account')] == [
        'chiveworks_account_claimed_cpu_mcore{account="a",zone="z"} 4000.0',
        'chiveworks_account_tasks_waiting{account="a",zone="z"} 7.0',
        'chiveworks_account_tasks_waiting{account="b",zone="z"} 1.0',
    ]
