"""Gauges of the event metrics."""

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
