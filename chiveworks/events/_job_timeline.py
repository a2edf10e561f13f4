"""Timeline of a job, merged from the event logs of any number of processes."""

import json
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any, Final

#: Process events that are included because they may explain a gap in the timeline.
_CONTEXT_EVENTS: Final = frozenset(
    (
        'leadership_gained',
        'leadership_lost',
        'state_recovered',
        'process_starting',
        'process_stopping',
        'log_lines_dropped',
    )
)
#: Time between log lines, in seconds, above which the timeline shows a gap.
_MIN_GAP_S: Final = 2.0
#: Events after which the runs of a job should end.
_JOB_END_EVENTS: Final = frozenset(
    ('cancel_requested', 'job_completed', 'job_failed', 'job_cancelled')
)
_HIDDEN_FIELDS: Final = frozenset(('at', 'event', 'process', 'zone', 'job'))


@dataclass(frozen=True, slots=True)
class TimelineEntry:
    """One line of a job timeline.

    Attributes:
        at_s: Unix time in seconds; the clocks of processes may differ.
        process: Process that logged the event; empty for gaps and the summary.
        text: Name of the event with its remaining fields.
    """

    at_s: float
    process: str
    text: str


def build_job_timeline(job_id: str, lines: Iterable[str]) -> list[TimelineEntry]:
    """Merges the events of a job in order of time, and marks gaps between them.

    Args:
        job_id: Id of the job.
        lines: Log lines; any text before the JSON object of a line is ignored.

    Returns:
        The timeline with a summary as its last entry; empty if no line names the
        job.
    """
    entries = sorted(_decode(lines), key=lambda entry: float(entry['at']))
    job_entries = [entry for entry in entries if entry.get('job') == job_id]
    if not job_entries:
        return []
    first, last = job_entries[0]['at'], job_entries[-1]['at']
    shown = [
        entry
        for entry in entries
        if entry.get('job') == job_id
        or (entry['event'] in _CONTEXT_EVENTS and first <= entry['at'] <= last)
    ]
    return [*_with_gaps(shown), _summarize(job_entries)]


def _decode(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        start = line.find('{')
        try:
            entry = json.loads(line[start:]) if start >= 0 else None
        except ValueError:
            continue
        if isinstance(entry, dict) and 'at' in entry and 'event' in entry:
            yield entry


def _with_gaps(entries: Sequence[dict[str, Any]]) -> Iterator[TimelineEntry]:
    previous_at = entries[0]['at']
    for entry in entries:
        gap = entry['at'] - previous_at
        if gap > _MIN_GAP_S:
            yield TimelineEntry(entry['at'], '', f'(no line for {gap:.1f} s)')
        previous_at = entry['at']
        field_values = ' '.join(
            f'{name}={field_value}'
            for name, field_value in entry.items()
            if name not in _HIDDEN_FIELDS
        )
        text = f'{entry["event"]} {field_values}'.rstrip()
        yield TimelineEntry(entry['at'], entry.get('process', ''), text)


def _summarize(job_entries: Sequence[dict[str, Any]]) -> TimelineEntry:
    """Returns an entry with the outcome of the job and the causes of its delays."""
    last = job_entries[-1]
    end_entries = [
        entry
        for entry in job_entries
        if entry['event'] in {'job_completed', 'job_failed', 'job_cancelled'}
    ]
    # Submissions under the id of another account's job tell nothing about that job.
    submitted = [
        entry
        for entry in job_entries
        if entry['event'] == 'job_submitted' and entry.get('outcome') != 'foreign'
    ]
    if end_entries:
        outcome = end_entries[-1]['event'].removeprefix('job_')
    elif submitted and submitted[-1].get('outcome') != 'accepted':
        outcome = f'not accepted ({submitted[-1].get("outcome")})'
    else:
        outcome = 'no end in these logs'
    counts = [
        f'{name} {amount}'
        for name, amount in (
            ('runs failed', _count_events(job_entries, 'run_ended', how='failed')),
            ('runs stopped', _count_events(job_entries, 'run_stopping')),
            ('runs lost', _count_events(job_entries, 'run_lost')),
            ('runs not ended', _count_runs_not_ended(job_entries)),
            ('starts refused', _count_events(job_entries, 'start_refused')),
            ('pauses', _count_events(job_entries, 'run_paced', percent=0)),
        )
        if amount
    ]
    waits = [
        entry['waited_ms'] for entry in job_entries if entry['event'] == 'task_claimed'
    ]
    if waits:
        counts.append(f'first claim after {min(waits)} ms')
    late = ', late' if end_entries and end_entries[-1].get('late') else ''
    summary = ', '.join(counts) or 'no failed, stopped, lost, refused or paused runs'
    return TimelineEntry(last['at'], '', f'= {outcome}{late}: {summary}')


def _count_runs_not_ended(entries: Sequence[dict[str, Any]]) -> int:
    """Returns the number of started runs without an end, once the job should end."""
    if not any(entry['event'] in _JOB_END_EVENTS for entry in entries):
        return 0
    started, ended = (
        {
            (str(entry.get('task')), entry.get('attempt'))
            for entry in entries
            if entry['event'] in events
        }
        for events in (('run_started',), ('run_ended', 'run_lost'))
    )
    return len(started - ended)


def _count_events(
    entries: Sequence[dict[str, Any]], event: str, **field_values: object
) -> int:
    return sum(
        entry['event'] == event
        and all(
            entry.get(name) == field_value for name, field_value in field_values.items()
        )
        for entry in entries
    )
