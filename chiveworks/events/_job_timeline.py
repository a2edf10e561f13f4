"""The story of one job, from the log lines of any number of processes."""

import json
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any, Final

#: Events of a process that may explain a gap in a job's story.
_CONTEXT: Final = frozenset(
    (
        'leadership_gained',
        'leadership_lost',
        'state_recovered',
        'process_starting',
        'process_stopping',
        'log_lines_dropped',
    )
)
#: Time without any line of the job that is pointed out, in seconds.
_GAP_S: Final = 2.0
_HIDDEN: Final = frozenset(('at', 'event', 'process', 'zone', 'job'))


@dataclass(frozen=True, slots=True)
class TimelineEntry:
    """One line of the story.

    Attributes:
        at_s: Time of day in seconds; clocks of processes may differ.
        process: Process that wrote the line.
        text: What happened, with its inputs.
    """

    at_s: float
    process: str
    text: str


def build_job_timeline(job_id: str, lines: Iterable[str]) -> list[TimelineEntry]:
    """Returns what the logs say of a job, in order of time, with gaps named.

    Args:
        job_id: Id of the job.
        lines: Log lines; other text before a line's object is ignored.
    """
    entries = sorted(_decode(lines), key=lambda entry: float(entry['at']))
    own = [entry for entry in entries if entry.get('job') == job_id]
    if not own:
        return []
    first, last = own[0]['at'], own[-1]['at']
    shown = [
        entry
        for entry in entries
        if entry.get('job') == job_id
        or (entry['event'] in _CONTEXT and first <= entry['at'] <= last)
    ]
    return [*_with_gaps(shown), _verdict(own)]


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
    before = entries[0]['at']
    for entry in entries:
        gap = entry['at'] - before
        if gap > _GAP_S:
            yield TimelineEntry(entry['at'], '', f'(no line for {gap:.1f} s)')
        before = entry['at']
        facts = ' '.join(
            f'{name}={fact}' for name, fact in entry.items() if name not in _HIDDEN
        )
        text = f'{entry["event"]} {facts}'.rstrip()
        yield TimelineEntry(entry['at'], entry.get('process', ''), text)


def _verdict(own: Sequence[dict[str, Any]]) -> TimelineEntry:
    """Says how it ended, and what most of the time went into."""
    last = own[-1]
    ended = [
        entry
        for entry in own
        if entry['event'] in {'job_completed', 'job_failed', 'job_cancelled'}
    ]
    submitted = [entry for entry in own if entry['event'] == 'job_submitted']
    if ended:
        how = ended[-1]['event'].removeprefix('job_')
    elif submitted and submitted[-1].get('outcome') != 'accepted':
        how = f'not accepted ({submitted[-1].get("outcome")})'
    else:
        how = 'no end in these logs'
    counts = [
        f'{name} {amount}'
        for name, amount in (
            ('runs failed', _count(own, 'run_ended', how='failed')),
            ('runs stopped', _count(own, 'run_stopping')),
            ('runs lost', _count(own, 'run_lost')),
            ('starts refused', _count(own, 'start_refused')),
            ('pauses', _count(own, 'run_paced', percent=0)),
        )
        if amount
    ]
    waits = [entry['waited_ms'] for entry in own if entry['event'] == 'task_claimed']
    if waits:
        counts.append(f'first claim after {min(waits)} ms')
    late = ', late' if ended and ended[-1].get('late') else ''
    summary = ', '.join(counts) or 'nothing went wrong on the way'
    return TimelineEntry(last['at'], '', f'= {how}{late}: {summary}')


def _count(entries: Sequence[dict[str, Any]], event: str, **facts: object) -> int:
    return sum(
        entry['event'] == event
        and all(entry.get(name) == fact for name, fact in facts.items())
        for entry in entries
    )
