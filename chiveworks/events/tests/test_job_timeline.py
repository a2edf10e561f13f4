"""Timeline of a job from unordered log lines of several jobs."""

import json

from chiveworks.events import build_job_timeline


def line(at_s, event, **fields):
    return json.dumps({'at': at_s, 'event': event, 'process': 'p', **fields})


LINES = [
    line(10.0, 'job_completed', job='a', late=True, duration_ms=9000),
    line(1.0, 'job_submitted', job='a', outcome='accepted'),
    line(1.0, 'job_submitted', job='b', outcome='refused'),
    'host-7 ' + line(1.1, 'task_claimed', job='a', waited_ms=100),
    line(2.0, 'run_ended', job='a', how='failed'),
    line(5.0, 'leadership_lost', token=3),
    'no log line',
    '{"at": 3',
]


def test_lines_are_ordered_and_gaps_are_named():
    """Guards against a timeline that hides periods without log lines."""
    timeline = build_job_timeline('a', LINES)
    texts = [entry.text for entry in timeline]
    assert texts[0].startswith('job_submitted')
    assert '(no line for 3.0 s)' in texts
    assert any(text.startswith('leadership_lost') for text in texts)
    assert texts[-1] == ('= completed, late: runs failed 1, first claim after 100 ms')


def test_a_refused_job_is_shown_as_not_accepted():
    """Guards against showing a refused job as one that was accepted and then lost."""
    assert 'not accepted (refused)' in build_job_timeline('b', LINES)[-1].text


def test_a_foreign_submission_does_not_hide_that_a_job_was_accepted():
    """Guards against an accepted job that is shown as refused, since another account
    has used its id."""
    lines = [
        line(1.0, 'job_submitted', job='a', outcome='accepted', account='x'),
        line(2.0, 'job_submitted', job='a', outcome='foreign', account='y'),
    ]
    assert 'not accepted' not in build_job_timeline('a', lines)[-1].text


def test_runs_of_a_cancelled_job_without_an_end_are_counted():
    """Guards against a summary that hides that runs of a cancelled job go on."""
    run = {'job': 'a', 'attempt': 1}
    started = [line(1.0, 'run_started', task=[0, 0, n], **run) for n in range(3)]
    ends = [
        line(2.0, 'cancel_requested', job='a', outcome='accepted'),
        line(3.0, 'run_ended', task=[0, 0, 0], how='stopped', **run),
        line(3.0, 'run_lost', task=[0, 0, 1], **run),
    ]
    assert 'runs not ended 1' in build_job_timeline('a', started + ends)[-1].text
    assert 'not ended' not in build_job_timeline('a', started)[-1].text


def test_the_waits_of_a_lasting_task_are_shown():
    """Guards against a wait that the timeline shows as a period without lines, and
    against a summary that takes its time for the first claim."""
    reason = 'no worker has enough free capacity'
    passed_over = [
        line(at_s, 'task_passed_over', job='a', waited_ms=50, reason=reason)
        for at_s in (2.0, 3.0, 4.0, 5.0)
    ]
    lines = [
        line(1.0, 'run_lost', job='a'),
        *passed_over,
        line(6.0, 'task_claimed', job='a', waited_ms=7000, waiting_ms=5000),
    ]
    texts = [entry.text for entry in build_job_timeline('a', lines)]
    assert f'task_passed_over waited_ms=50 reason={reason}' in texts
    assert not any('no line' in text for text in texts)
    assert texts[-1].endswith('runs lost 1, first claim after 7000 ms')


def test_an_unknown_job_has_no_timeline():
    """Guards against an invented timeline for a job without log lines."""
    assert build_job_timeline('c', LINES) == []
