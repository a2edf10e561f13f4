"""Demonstrates the scheduler under load and faults in less than a minute.

Starts the stand-ins, 24 workers and three zones with two entry processes each, as in
the Quimperlé fleet. Sends meter readings to a latency-critical service, submits
batch jobs, takes a zone out of service, restores it, and kills an entry process. Exits
with 1 if a promise of the scheduler was broken.
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
_LOAD_DURATION_S = 22
_RESPONSE_TARGET_MS = 250
_JOBS = 30
_TASKS_PER_JOB = 4
_TASK_MS = 1500
_ZONE_OUT_AT_S = 4
_ZONE_BACK_AT_S = 11
_KILL_AT_S = 15
_JOBS_TIMEOUT_S = 25
#: Tasks may still start in a zone for this long after it goes out of service.
_LAST_START_LIMIT_MS = 3000
_DRILL_ZONE = 'kerbertrand'
_FINAL_STATES = frozenset(
    ('finished', 'failed', 'cancelled', 'outcome_unknown', 'unschedulable')
)
#: Catalogue entries.
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
        'response_target_ms': _RESPONSE_TARGET_MS,
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
class CallerResults:
    """Results of requests and jobs as seen by the callers.

    Attributes:
        sent: Number of requests sent.
        latencies_ms: Latency of each successful request.
        verdicts: Number of failed requests by verdict of the error response.
        steps: Number of failed requests by failed step and message.
        accepted: Job id of each accepted job by its idempotency key.
        states: Number of ended jobs by final state.
        lost_jobs: Keys of accepted jobs that did not end in time.
        mismatched_responses: Number of responses that belong to another request.
    """

    sent: int = 0
    latencies_ms: list[float] = field(default_factory=list)
    verdicts: Counter[str] = field(default_factory=Counter)
    steps: Counter[str] = field(default_factory=Counter)
    accepted: dict[str, str] = field(default_factory=dict)
    states: Counter[str] = field(default_factory=Counter)
    lost_jobs: list[str] = field(default_factory=list)
    mismatched_responses: int = 0


async def apply_catalogue(fleet: Fleet) -> None:
    """Applies the catalogue entries and waits until all entry processes have them."""
    url = next(iter(fleet.entry_urls.values()))
    for entry in _ENTRIES:
        target = f'{url}/v1/catalogue/{entry["name"]}?expected=0&author=demo'
        async with fleet.http.put(target, json=entry) as response:
            response.raise_for_status()
    for url in fleet.entry_urls.values():
        while not await _has_all_entries(fleet, url):
            await asyncio.sleep(0.05)


async def _has_all_entries(fleet: Fleet, url: str) -> bool:
    async with fleet.http.get(f'{url}/v1/catalogue') as response:
        return len((await response.json())['entries']) == len(_ENTRIES)


async def send_readings(fleet: Fleet, results: CallerResults) -> None:
    """Sends meter readings at a constant rate through the running entry processes."""
    names = itertools.cycle(fleet.entry_urls)
    async with asyncio.TaskGroup() as group:
        for number in range(_READINGS_PER_S * _LOAD_DURATION_S):
            name = next(key for key in names if fleet.entries[key].returncode is None)
            group.create_task(_send_reading(fleet, name, number, results))
            await asyncio.sleep(1 / _READINGS_PER_S)


async def _send_reading(
    fleet: Fleet, name: str, number: int, results: CallerResults
) -> None:
    results.sent += 1
    url = f'{fleet.entry_urls[name]}/services/compteurs/readings'
    headers = {'X-Request-Id': f'reading-{number}', 'X-Chiveworks-Tenant': 'regie'}
    started_at = time.perf_counter()
    try:
        async with fleet.http.post(url, data=b'reading', headers=headers) as response:
            body = await response.json()
    except aiohttp.ClientError:
        # The connection broke because the entry process was killed.
        results.verdicts['connection lost'] += 1
        return
    if not response.ok:
        error = body['error']
        results.verdicts[error['verdict']] += 1
        results.steps[f'{error["step"]}: {error["message"]}'] += 1
        return
    if body['request_id'] != f'reading-{number}':
        results.mismatched_responses += 1
    results.latencies_ms.append((time.perf_counter() - started_at) * 1000)


async def submit_jobs(fleet: Fleet, results: CallerResults) -> None:
    """Submits the batch jobs; retries each with the same key until it is accepted."""
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
            accepted = await _submit(fleet, next(names), job, results)
        await asyncio.sleep(0.2)


async def _submit(
    fleet: Fleet, name: str, job: dict[str, Any], results: CallerResults
) -> bool:
    url = f'{fleet.entry_urls[name]}/v1/jobs'
    try:
        async with fleet.http.post(url, json=job) as response:
            body = await response.json()
    except aiohttp.ClientError:
        return False
    if response.ok:
        results.accepted[job['key']] = body['job_id']
    else:
        await asyncio.sleep(0.2)
    return response.ok


async def run_drill(fleet: Fleet) -> tuple[int, int]:
    """Takes a zone out of service, restores it, then kills a shard owner.

    Returns:
        Times at which the zone went out of service and came back, in ms.
    """
    await asyncio.sleep(_ZONE_OUT_AT_S)
    out_ms = await _set_zone_state(fleet, 'out')
    await asyncio.sleep(_ZONE_BACK_AT_S - _ZONE_OUT_AT_S)
    back_ms = await _set_zone_state(fleet, 'in_service')
    await asyncio.sleep(_KILL_AT_S - _ZONE_BACK_AT_S)
    owner = await fleet.owner_of('laita')
    fleet.entries[owner or 'laita-e0'].send(signal.SIGKILL)
    return out_ms, back_ms


async def _set_zone_state(fleet: Fleet, state: str) -> int:
    url = f'{fleet.entry_urls["isole-e0"]}/v1/zones/{_DRILL_ZONE}?author=demo'
    body = {'state': state, 'reason': 'drill'}
    async with fleet.http.put(url, json=body) as response:
        response.raise_for_status()
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


async def wait_for_jobs(fleet: Fleet, results: CallerResults) -> None:
    """Waits for all accepted jobs; records those that do not end in time as lost."""
    deadline = time.monotonic() + _JOBS_TIMEOUT_S
    url = fleet.entry_urls['isole-e0']
    for key in results.accepted:
        state = ''
        while state not in _FINAL_STATES and time.monotonic() < deadline:
            async with fleet.http.get(f'{url}/v1/jobs/regie/{key}') as response:
                state = (await response.json()).get('state', '')
            if state not in _FINAL_STATES:
                await asyncio.sleep(0.2)
        if state in _FINAL_STATES:
            results.states[state] += 1
        else:
            results.lost_jobs.append(key)


def report(results: CallerResults, audit: Audit, late_starts: int) -> bool:
    """Prints the results and returns whether all promises held."""
    latencies = np.array(results.latencies_ms)
    p50_ms, p99_ms = np.percentile(latencies, (50, 99))
    late_count = int((latencies > _RESPONSE_TARGET_MS).sum())
    duplicated_tasks = audit.duplicated_tasks()
    rows = (
        ('requests sent', results.sent),
        ('successful requests', len(latencies)),
        (f'requests later than {_RESPONSE_TARGET_MS} ms', late_count),
        ('failed requests', dict(results.verdicts) or 0),
        *((f'  {step}', count) for step, count in results.steps.items()),
        ('responses of another request', results.mismatched_responses),
        ('p50 / p99 in ms', f'{p50_ms:.1f} / {p99_ms:.1f}'),
        ('jobs accepted', len(results.accepted)),
        ('jobs finished', results.states['finished']),
        ('tasks doubled', len(duplicated_tasks)),
        ('jobs lost', len(results.lost_jobs)),
        ('evictions', audit.evictions),
        (f'starts in {_DRILL_ZONE} over 3 s after it was out', late_starts),
        ('workers committed beyond their size', len(audit.overcommitted)),
    )
    for label, figure in rows:
        print(f'{label:46} {figure}')
    unfinished = len(results.accepted) - results.states['finished']
    unfinished += len(results.accepted) != _JOBS
    violations = (
        unfinished,
        duplicated_tasks,
        results.lost_jobs,
        late_starts,
        audit.overcommitted,
        results.mismatched_responses,
        results.verdicts['outcome_unknown'],
    )
    return not any(violations)


async def main() -> int:
    """Runs the demo and returns the exit code."""
    started_at = time.monotonic()
    results = CallerResults()
    with tempfile.TemporaryDirectory(prefix='chiveworks-demo-') as name:
        async with Fleet(QUIMPERLE, Path(name)) as fleet:
            print(f'{len(fleet.entries)} entry processes, 24 workers ready')
            await apply_catalogue(fleet)
            readings = asyncio.create_task(send_readings(fleet, results))
            jobs = asyncio.create_task(submit_jobs(fleet, results))
            out_ms, back_ms = await run_drill(fleet)
            await asyncio.gather(readings, jobs)
            await wait_for_jobs(fleet, results)
            audit = Audit.from_logs(await fleet.worker_logs())
    late_starts = audit.starts_between(
        _DRILL_ZONE, out_ms + _LAST_START_LIMIT_MS, back_ms
    )
    promises_held = report(results, audit, late_starts)
    print(f'{"promises":46} {"held" if promises_held else "BROKEN"}')
    print(f'{"time in s":46} {time.monotonic() - started_at:.0f}')
    return 0 if promises_held else 1


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
