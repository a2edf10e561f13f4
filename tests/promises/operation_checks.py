"""Scenarios with cancellations, unschedulable jobs, failing workers and outages."""

import asyncio
import random

from result import Ok

from chiveworks.base import Verdict
from chiveworks.jobs import job_id_of
from chiveworks.membership import JobState
from chiveworks.scheduler import SchedulerTimings
from tests.promises import model
from tests.promises.check import check
from tests.promises.fault_bench import LAITA, FaultBench
from tests.promises.promise import Promise
from tests.promises.shard_checks import (
    advance_until_frozen,
    at_call,
    finish,
    start_bench,
    submit_accepted,
)
from tests.promises.tally import Tally

_OUTAGE_S = 600
#: Limit on the store calls of one process in the first second after an outage.
_MAX_CALLS_AFTER_OUTAGE = 40
_REPORT_LIMIT_MS = 10_000


def table_of(bench: FaultBench):
    return bench.owner().candidate._parts.service._context.table


@check(Promise.CANCELLATION, Promise.CAPACITY)
async def bursts_of_cancellations(tally: Tally, rng: random.Random) -> None:
    """Most jobs are cancelled at once; worker answers are lost, the owner may crash."""
    bench = await start_bench(rng)
    jobs = [
        await submit_accepted(bench, bench.submission(f'bill{number}', 2, ms=4000))
        for number in range(24)
    ]
    await bench.advance(rng.uniform(0, 3))
    owner = bench.owner()
    for worker in owner.controls:
        bench.control(owner, worker).drop_answers = rng.choice((0, 1, 3))
        tally.fault('worker answer lost')
    kept = jobs[::6]
    burst = [one for one in jobs if one not in kept]
    handler = owner.local.handler_of(LAITA)

    async def cancel(submission) -> None:
        answer = await handler.cancel(job_id_of(submission))
        if isinstance(answer, Ok):
            bench.cancelled_ms[job_id_of(submission)] = bench.now_ms

    cancelling = asyncio.gather(*map(cancel, burst))
    await bench.drive(cancelling, 20)
    tally.fault('cancellation', len(burst))
    tally.operations(len(burst))
    if rng.random() < 0.5:
        bench.kill(owner)
        bench.add_process(LAITA)
        tally.fault('owner killed')
    bench.heal()
    await bench.advance(60, 0.25)
    for submission in burst:
        job = await bench.job(submission)
        if not job.is_final:
            tally.violation(f'{job.key} is {job.state} 60 s after its cancellation')
    for worker, simulated in bench.workers.items():
        reserved = table_of(bench).reserved_on(worker)
        if not simulated.table.running() and reserved.cpu_millicores:
            tally.violation(f'{reserved} still reserved on {worker}')
    await finish(bench, tally, kept, 5)


@check(Promise.NOT_RUN, Promise.STORE_OUTAGE)
async def verdicts_of_submissions(tally: Tally, rng: random.Random) -> None:
    """Jobs are submitted while answers are lost and the store or the owner fails."""
    bench = await start_bench(rng)
    accepted, refused = [], []
    for number in range(40):
        if not bench.owners_of(LAITA):
            await bench.advance(2, 0.25)
            continue
        owner = bench.owner()
        fault = rng.choice(('answer lost', 'outage', 'outage midway', 'killed', ''))
        if fault:
            tally.fault(fault)
        owner.store.faults.drop_answer_next = 2 * (fault == 'answer lost')
        owner.store.faults.outage = fault == 'outage'
        submission = bench.submission(f'bill{number}', 1, 'repeatable', 300)
        call = asyncio.ensure_future(owner.local.handler_of(LAITA).register(submission))
        tally.operations()
        await bench.advance(rng.choice((0.05, 0.15, 0.3)))
        if fault == 'outage midway':
            owner.store.faults.outage = True
            await bench.advance(rng.choice((1, 8)), 0.25)
        if fault == 'killed':
            bench.kill(owner)
            bench.add_process(LAITA)
        owner.store.faults.outage = False
        answer = await bench.drive(call, 8)
        if isinstance(answer, Ok):
            accepted.append(submission)
        elif answer is not None and answer.err_value.verdict is Verdict.NOT_RUN:
            refused.append(submission)
    bench.heal()
    await bench.advance(30, 0.25)
    ran = {run.task_id.rpartition('/')[0] for run in model.runs_of(bench.workers)}
    for submission in refused:
        if job_id_of(submission) in ran:
            tally.violation(f'{submission.key}: "not run", but it ran')
    await finish(bench, tally, accepted, 30)


@check(Promise.UNSCHEDULABLE)
async def jobs_that_can_never_run(tally: Tally, rng: random.Random) -> None:
    """Jobs larger than any worker, on idle and on busy workers."""
    bench = await start_bench(rng)
    for name, fields in (
        ('cpu', {'cpu_millicores': 4001}),
        ('memory', {'memory_bytes': (8 << 30) + 1}),
        ('accelerators', {'accelerators': 1}),
    ):
        await bench.put_entry(name, idempotent=True, **fields)
    if rng.random() < 0.5:
        await submit_accepted(bench, bench.submission('busy', 8, ms=20_000))
        tally.fault('workers busy')
    began_ms = bench.now_ms
    jobs = [
        await submit_accepted(bench, bench.submission(f'never-{name}', 2, name))
        for name in ('cpu', 'memory', 'accelerators')
    ]
    tally.fault('impossible job', len(jobs))
    tally.operations(len(jobs))
    while bench.now_ms < began_ms + _REPORT_LIMIT_MS:
        await bench.advance(0.25)
    for submission in jobs:
        job = await bench.job(submission)
        if job.state is not JobState.UNSCHEDULABLE or not job.reason:
            tally.violation(f'{job.key} is {job.state} after 10 s: {job.reason!r}')
    bench.check_model(tally)
    await bench.stop()


@check(Promise.FAILING_WORKERS)
async def workers_that_fail_everything(tally: Tally, rng: random.Random) -> None:
    """One of four workers fails all of its starts or all of its tasks."""
    for fails_tasks in (False, True):
        bench = await start_bench(rng, worker_count=4)
        await bench.put_entry('retried', idempotent=True, retry_limit=50)
        failing_worker = rng.choice(sorted(bench.workers))
        bench.workers[failing_worker].fail_starts = not fails_tasks
        bench.workers[failing_worker].table.fail_tasks = fails_tasks
        tally.fault('worker fails tasks' if fails_tasks else 'worker fails starts')
        jobs = [
            await submit_accepted(
                bench, bench.submission(f'bill{one}', 12, 'retried', 3000)
            )
            for one in range(5)
        ]
        await bench.advance(90, 0.25)
        wasted = sum(
            run.worker == failing_worker for run in model.runs_of(bench.workers)
        )
        # A scheduling round may send one start for each free slot before the first
        # failure is known.
        if wasted > 24:
            tally.violation(f'{wasted} starts on the failing worker in 90 s')
        await finish(bench, tally, jobs, 30)


@check(Promise.STORE_OUTAGE, Promise.ONCE_AT_A_TIME)
async def store_down_for_ten_minutes(tally: Tally, rng: random.Random) -> None:
    """Tasks keep running, accepted jobs remain, recovery doesn't overload the store."""
    bench = await start_bench(rng, timings=SchedulerTimings())
    running = await submit_accepted(bench, bench.submission('long', 4, ms=900_000))
    short = await submit_accepted(
        bench, bench.submission('short', 3, 'repeatable', 60_000)
    )
    await bench.advance(3)
    waiting = await submit_accepted(bench, bench.submission('waiting', 8, ms=1000))
    await bench.advance(rng.uniform(0.1, 1))
    runs_before = {
        run for run in model.runs_of(bench.workers) if run.state == 'running'
    }
    for process in bench.processes:
        process.store.faults.outage = True
    tally.fault('store down for 600 s')
    refused = 0
    peak = 0
    for number in range(_OUTAGE_S // 20):
        handler = bench.owner().local.handler_of(LAITA) if bench.owners_of(LAITA) else 0
        if handler and number % 3 == 0:
            submission = bench.submission(f'refused{number}', 2)
            answer = await bench.drive(handler.register(submission), 10)
            refused += not isinstance(answer, Ok)
            if isinstance(answer, Ok):
                tally.violation('a job was accepted without the store')
        await bench.advance(20, 0.5)
        peak = max(peak, len(asyncio.all_tasks()))
    tally.operations(refused)
    if peak > 200:
        tally.violation(f'{peak} event loop tasks during the outage')
    states = {
        (run.task_id, run.attempt): run.state for run in model.runs_of(bench.workers)
    }
    for run in runs_before:
        tally.operations()
        if states[run.task_id, run.attempt] not in {'running', 'finished'}:
            tally.violation(f'{run} was stopped during the outage')
    bench.engine.calls.clear()
    bench.heal()
    await bench.advance(1)
    calls = bench.engine.calls.total()
    if calls > _MAX_CALLS_AFTER_OUTAGE * len(bench.processes):
        tally.violation(f'{calls} store calls in the first second after the outage')
    await finish(bench, tally, [running, short, waiting], 1000)


@check(Promise.STORE_OUTAGE, Promise.ONCE_AT_A_TIME)
async def writes_of_a_former_owner(tally: Tally, rng: random.Random) -> None:
    """Late writes of a former owner don't lose jobs that its successor accepted."""
    bench = await start_bench(rng)
    former = bench.owner()
    accepted = [await submit_accepted(bench, bench.submission('first', 2, ms=2000))]
    bench.interceptor_of(former).freeze_when = at_call(
        'compare_and_swap', 'journal', done=False
    )
    late = asyncio.ensure_future(
        former.local.handler_of(LAITA).register(bench.submission('late', 2))
    )
    await advance_until_frozen(bench, former)
    read = await bench.external_store.fetch('shards/laita/owner')
    owner = read.ok_value.first()
    await bench.external_store.delete(owner.key, owner.mod_revision)
    tally.fault('owner key removed by hand')
    while not [one for one in bench.owners_of(LAITA) if one is not former]:
        await bench.advance(0.25)
    successor = next(one for one in bench.owners_of(LAITA) if one is not former)
    for number in range(3):
        submission = bench.submission(f'second{number}', 2, ms=2000)
        handler = successor.local.handler_of(LAITA)
        answer = await bench.drive(handler.register(submission), 5)
        if isinstance(answer, Ok):
            accepted.append(submission)
    former.gate.thaw()
    tally.fault('former owner resumed before its journal write')
    for number in range(4):
        for process in bench.owners_of(LAITA):
            handler = process.local.handler_of(LAITA)
            if handler is None:
                continue
            name = 'former' if process is former else 'successor'
            submission = bench.submission(f'{name}{number}', 1, ms=2000)
            answer = await bench.drive(handler.register(submission), 2)
            if isinstance(answer, Ok):
                accepted.append(submission)
    late.cancel()
    tally.operations(len(accepted))
    for process in tuple(bench.processes):
        bench.kill(process)
    bench.add_process(LAITA)
    bench.add_process(LAITA)
    tally.fault('all processes killed', 2)
    await finish(bench, tally, accepted, 120)
