"""A night at Quimperlé in under a minute: readings, recalculations, a zone drill.

Starts the stand-ins, three zones with two entry processes each and 24 workers.
Exits with 1 if a promise was broken.
"""

import asyncio
import itertools
import json
import signal
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import numpy as np

from examples.fleet import QUIMPERLE, Audit, Fleet

_READINGS_PER_S = 150
_LOAD_S = 22
_LATE_MS = 250
_JOBS = 30
_TASKS_PER_JOB = 4
_TASK_MS = 1500
_OUT_AFTER_S = 4
_BACK_AFTER_S = 11
_KILL_AFTER_S = 15
_END_LIMIT_S = 25
_PROMISED_START_MS = 3000
_ZONE = 'kerbertrand'
_FINAL = frozenset(
    ('finished', 'failed', 'cancelled', 'outcome_unknown', 'unschedulable')
)
_ENTRIES: tuple[dict[str, Any], ...] = (
    {
        'name': 'compteurs',
        'owner': 'metering',
        'tenant': 'regie',
        'service_class': 'latency-critical',
        'idempotent': True,
        'cpu_millicores': 8000,
        'memory_bytes': 16_000_000_000,
        'deadline_ms': 2000,
        'response_target_ms': _LATE_MS,
    },
    {
        'name': 'recalculation',
        'owner': 'billing',
        'tenant': 'regie',
        'service_class': 'batch',
        'idempotent': False,
        'can_checkpoint': True,
        'cpu_millicores': 2000,
        'memory_bytes': 4_000_000_000,
        'deadline_ms': 60_000,
    },
)


@dataclass
class Tally:
    """What callers saw."""

    sent: int = 0
    latencies_ms: list[float] = field(default_factory=list)
    verdicts: Counter[str] = field(default_factory=Counter)
    steps: Counter[str] = field(default_factory=Counter)
    accepted: dict[str, str] = field(default_factory=dict)
    states: Counter[str] = field(default_factory=Counter)
    lost: list[str] = field(default_factory=list)
    wrong_answers: int = 0


async def apply_catalogue(fleet: Fleet) -> None:
    """Applies the entries through the first entry process."""
    url = next(iter(fleet.entry_urls.values()))
    for entry in _ENTRIES:
        target = f'{url}/v1/catalogue/{entry["name"]}?expected=0&author=demo'
        async with fleet.http.put(target, json=entry) as answer:
            answer.raise_for_status()
    for url in fleet.entry_urls.values():
        while not await _knows_all_entries(fleet, url):
            await asyncio.sleep(0.05)


async def _knows_all_entries(fleet: Fleet, url: str) -> bool:
    async with fleet.http.get(f'{url}/v1/catalogue') as answer:
        return len((await answer.json())['entries']) == len(_ENTRIES)


async def send_readings(fleet: Fleet, tally: Tally) -> None:
    """Sends meter readings at a steady rate through all live entry processes."""
    names = itertools.cycle(fleet.entry_urls)
    async with asyncio.TaskGroup() as group:
        for number in range(_READINGS_PER_S * _LOAD_S):
            name = next(one for one in names if fleet.entries[one].returncode is None)
            group.create_task(_send_reading(fleet, name, number, tally))
            await asyncio.sleep(1 / _READINGS_PER_S)


async def _send_reading(fleet: Fleet, name: str, number: int, tally: Tally) -> None:
    tally.sent += 1
    url = f'{fleet.entry_urls[name]}/services/compteurs/readings'
    headers = {'X-Request-Id': f'reading-{number}', 'X-Chiveworks-Tenant': 'regie'}
    began = time.perf_counter()
    try:
        async with fleet.http.post(url, data=b'reading', headers=headers) as answer:
            body = await answer.json()
    except aiohttp.ClientError:
        # The entry process was killed; its callers' connections broke.
        tally.verdicts['connection lost'] += 1
        return
    if not answer.ok:
        error = body['error']
        tally.verdicts[error['verdict']] += 1
        tally.steps[f'{error["step"]}: {error["message"]}'] += 1
        return
    if body['request_id'] != f'reading-{number}':
        tally.wrong_answers += 1
    tally.latencies_ms.append((time.perf_counter() - began) * 1000)


async def submit_jobs(fleet: Fleet, tally: Tally) -> None:
    """Submits the night's recalculations; repeats a key until it is accepted."""
    payload = json.dumps({'duration_ms': _TASK_MS})
    names = itertools.cycle(fleet.entry_urls)
    for number in range(_JOBS):
        key = f'bill-{number}'
        job = {
            'tenant': 'regie',
            'key': key,
            'entry': 'recalculation',
            'payloads': [payload] * _TASKS_PER_JOB,
        }
        accepted = False
        while not accepted:
            accepted = await _submit(fleet, next(names), job, tally)
        await asyncio.sleep(0.2)


async def _submit(fleet: Fleet, name: str, job: dict[str, Any], tally: Tally) -> bool:
    url = f'{fleet.entry_urls[name]}/v1/jobs'
    try:
        async with fleet.http.post(url, json=job) as answer:
            body = await answer.json()
    except aiohttp.ClientError:
        return False
    if answer.ok:
        tally.accepted[job['key']] = body['job_id']
    else:
        await asyncio.sleep(0.2)
    return answer.ok


async def run_drill(fleet: Fleet) -> tuple[int, int]:
    """Takes a zone out and back, kills an entry process; returns out and back in ms."""
    await asyncio.sleep(_OUT_AFTER_S)
    out_ms = await _switch(fleet, 'out')
    await asyncio.sleep(_BACK_AFTER_S - _OUT_AFTER_S)
    back_ms = await _switch(fleet, 'in_service')
    await asyncio.sleep(_KILL_AFTER_S - _BACK_AFTER_S)
    owner = await fleet.owner_of('laita')
    fleet.entries[owner or 'laita-e0'].send(signal.SIGKILL)
    return out_ms, back_ms


async def _switch(fleet: Fleet, state: str) -> int:
    url = f'{fleet.entry_urls["isole-e0"]}/v1/zones/{_ZONE}?author=demo'
    body = {'state': state, 'reason': 'drill'}
    async with fleet.http.put(url, json=body) as answer:
        answer.raise_for_status()
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


async def await_jobs(fleet: Fleet, tally: Tally) -> None:
    """Waits until every accepted job has ended, or notes it as lost."""
    deadline = time.monotonic() + _END_LIMIT_S
    url = fleet.entry_urls['isole-e0']
    for key in tally.accepted:
        state = ''
        while state not in _FINAL and time.monotonic() < deadline:
            async with fleet.http.get(f'{url}/v1/jobs/regie/{key}') as answer:
                state = (await answer.json()).get('state', '')
            if state not in _FINAL:
                await asyncio.sleep(0.2)
        if state in _FINAL:
            tally.states[state] += 1
        else:
            tally.lost.append(key)


def report(tally: Tally, audit: Audit, late_starts: int) -> bool:
    """Prints the table; returns whether all promises held."""
    latencies = np.array(tally.latencies_ms)
    p50_ms, p99_ms = np.percentile(latencies, (50, 99))
    late = int((latencies > _LATE_MS).sum())
    duplicated_tasks = audit.duplicated_tasks()
    rows = (
        ('requests sent', tally.sent),
        ('requests answered', len(latencies)),
        (f'requests later than {_LATE_MS} ms', late),
        ('requests not answered', dict(tally.verdicts) or 0),
        *((f'  {step}', count) for step, count in tally.steps.items()),
        ('answers of another request', tally.wrong_answers),
        ('p50 / p99 in ms', f'{p50_ms:.1f} / {p99_ms:.1f}'),
        ('jobs accepted', len(tally.accepted)),
        ('jobs finished', tally.states['finished']),
        ('tasks doubled', len(duplicated_tasks)),
        ('jobs lost', len(tally.lost)),
        ('evictions', audit.evictions),
        (f'starts in {_ZONE} over 3 s after it was out', late_starts),
        ('workers committed beyond their size', len(audit.overcommitted)),
    )
    for label, figure in rows:
        print(f'{label:46} {figure}')
    unfinished = len(tally.accepted) - tally.states['finished']
    unfinished += len(tally.accepted) != _JOBS
    broken = (
        unfinished,
        duplicated_tasks,
        tally.lost,
        late_starts,
        audit.overcommitted,
        tally.wrong_answers,
        tally.verdicts['outcome_unknown'],
    )
    return not any(broken)


async def main() -> int:
    """Runs the demo; returns the exit code."""
    began = time.monotonic()
    tally = Tally()
    with tempfile.TemporaryDirectory(prefix='chiveworks-demo-') as name:
        async with Fleet(QUIMPERLE, Path(name)) as fleet:
            print(f'{len(fleet.entries)} entry processes, 24 workers ready')
            await apply_catalogue(fleet)
            readings = asyncio.create_task(send_readings(fleet, tally))
            jobs = asyncio.create_task(submit_jobs(fleet, tally))
            out_ms, back_ms = await run_drill(fleet)
            await asyncio.gather(readings, jobs)
            await await_jobs(fleet, tally)
            audit = Audit.from_logs(await fleet.worker_logs())
    late_starts = audit.starts_between(_ZONE, out_ms + _PROMISED_START_MS, back_ms)
    held = report(tally, audit, late_starts)
    print(f'{"promises":46} {"held" if held else "BROKEN"}')
    print(f'{"time in s":46} {time.monotonic() - began:.0f}')
    return 0 if held else 1


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
