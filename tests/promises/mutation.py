"""Mutation tests of the checks: wrong variants of the code that they must detect.

The patches are applied at run time and exist only in this module. A mutant is
caught when a check that passes on the unchanged code reports a violation.
"""

import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, replace
from typing import Any
from unittest import mock

from result import Ok

from chiveworks.base import Failure, TicketMs, Verdict
from chiveworks.catalogue import CatalogueReplica
from chiveworks.entry import DrainState
from chiveworks.journal import _fenced_writer
from chiveworks.membership import TaskState
from chiveworks.routing import _dispatcher, _endpoint, _exchange
from chiveworks.routing._attempt_end import AttemptEnd
from chiveworks.routing._attempt_outcome import classify_attempt
from chiveworks.routing._headers import REQUEST_ID
from chiveworks.scheduler import _fleet, _start_round
from standins.workers import SimulatedWorker
from tests.promises.check import CHECKS
from tests.promises.run import seeds_of
from tests.promises.tally import Tally

_PATCH_ERRORS = ('TypeError', 'AttributeError', 'IndexError', 'KeyError', 'NameError')


@dataclass(frozen=True)
class Mutant:
    """A wrong variant of the code, made by patching one attribute.

    Attributes:
        name: Description of the fault, printed in the report.
        target: Module or class whose attribute is patched.
        attribute: Name of the patched attribute.
        make: Builds the replacement from the original value.
        first: Parts of the names of checks that are run before all others, because
            they are likely to catch the mutant; this shortens the run.
    """

    name: str
    target: Any
    attribute: str
    make: Callable[[Any], Any]
    first: tuple[str, ...]


def _accept_any_epoch(_original: Any) -> Any:
    def check_epoch(self: Any, epoch: Any) -> None:
        self._epoch = max(self._epoch, epoch)

    return check_epoch


def _requeue_after_lost_answer(original: Any) -> Any:
    def handle_start_result(self: Any, placed_task: Any, started: Any) -> Any:
        error = started.err()
        if isinstance(error, Failure) and error.verdict is not Verdict.NOT_RUN:
            self._record_not_started(placed_task)
            return False
        return original(self, placed_task, started)

    return handle_start_result


def _retry_always(_original: Any) -> Any:
    return lambda end, _idempotent: classify_attempt(end, idempotent=True)


def _ignore_leaving(_original: Any) -> Any:
    def set_attribute(self: Any, name: str, value: Any) -> None:
        if name == 'leaving':
            value = False
        object.__setattr__(self, name, value)

    return set_attribute


def _lease_from_arrival(original: Any) -> Any:
    def renew(self: Any, renewal: Any) -> Any:
        if renewal.ticket:
            renewal = replace(renewal, ticket=TicketMs(self.ticket()))
        return original(self, renewal)

    return renew


def _store_any_revision(_original: Any) -> Any:
    def store(self: Any, change: Any) -> bool:
        self._held[change.key] = change
        self._decode(change)
        return True

    return store


def _free_on_stop_request(original: Any) -> Any:
    def free_on(self: Any, session: Any) -> Any:
        free = original(self, session)
        for task in self._table.active_on(session.worker):
            if task.state is TaskState.STOPPING:
                free += task.reserved
        return free

    return free_on


def _match_by_order(original: Any) -> Any:
    async def check(self: Any, answer: Any) -> None:
        found = answer.headers.get(REQUEST_ID, self._request.request_id)
        self._request = replace(self._request, request_id=found)
        await original(self, answer)

    return check


def _wait_for_nothing(_original: Any) -> Any:
    async def wait_idle(_self: Any) -> None:
        """Returns without waiting."""

    return wait_idle


def _not_run_on_timeout(original: Any) -> Any:
    def classify(end: Any, idempotent: bool) -> Any:
        if end is AttemptEnd.ANSWER_TIMEOUT:
            return replace(original(end, idempotent), verdict=Verdict.NOT_RUN)
        return original(end, idempotent)

    return classify


def _write_without_comparing(_original: Any) -> Any:
    async def write(
        self: Any, key: str, stored: bytes, epoch_of: Any, replace_below: Any = 0
    ) -> Any:
        while True:
            read = await self._store.fetch(key)
            if isinstance(read, Ok):
                found = read.ok_value.first()
                revision = found.mod_revision if found else 0
                written = await self._store.compare_and_swap(key, stored, revision)
                if isinstance(written, Ok):
                    self._revisions[key] = written.ok_value
                    return written
            await self._clock.sleep(_fenced_writer._INITIAL_RETRY_DELAY)

    return write


def _accept_any_ticket(original: Any) -> Any:
    def check_start(self: Any, order: Any) -> Any:
        return original(self, replace(order, ticket=TicketMs(self._now_ms)))

    return check_start


def _never_busy(_original: Any) -> Any:
    return lambda _self, _connection: False


MUTANTS = (
    Mutant(
        'no epoch check at the worker',
        SimulatedWorker,
        '_check_epoch',
        _accept_any_epoch,
        ('two_owners', 'shards_under', 'partitions'),
    ),
    Mutant(
        're-run on a lost start answer',
        _start_round.StartRound,
        '_handle_start_result',
        _requeue_after_lost_answer,
        ('lost_start', 'shards_under'),
    ),
    Mutant(
        'retry after send of a non-idempotent request',
        _dispatcher,
        'classify_attempt',
        _retry_always,
        ('random_faults',),
    ),
    Mutant(
        'drain of an endpoint ignored',
        _endpoint.Endpoint,
        '__setattr__',
        _ignore_leaving,
        ('endpoints_that_leave',),
    ),
    Mutant(
        'lease counted from the arrival of the renewal, not from its ticket',
        SimulatedWorker,
        'renew',
        _lease_from_arrival,
        ('late_renewals', 'shards_under'),
    ),
    Mutant(
        'configuration applied without comparing revisions',
        CatalogueReplica,
        '_store_if_newer',
        _store_any_revision,
        ('replicas_under', 'changes_reach'),
    ),
    Mutant(
        'capacity freed on the stop request',
        _fleet.Fleet,
        'free_on',
        _free_on_stop_request,
        ('unconfirmed_stops', 'bursts'),
    ),
    Mutant(
        'answers matched by order',
        _exchange.Exchange,
        '_check',
        _match_by_order,
        ('random_faults',),
    ),
    Mutant(
        'abrupt stop: requests in progress are not waited for',
        DrainState,
        'wait_idle',
        _wait_for_nothing,
        ('planned_stop',),
    ),
    Mutant(
        'abrupt stop: busy connections are closed',
        DrainState,
        'is_busy',
        _never_busy,
        ('planned_stop',),
    ),
    Mutant(
        '"not run" reported on a timeout after send',
        _dispatcher,
        'classify_attempt',
        _not_run_on_timeout,
        ('random_faults',),
    ),
    Mutant(
        'journal without compare-and-swap',
        _fenced_writer.FencedWriter,
        'write',
        _write_without_comparing,
        ('writes_of_a_former', 'two_owners', 'shards_under'),
    ),
    Mutant(
        'ticket age not checked',
        SimulatedWorker,
        '_check_start',
        _accept_any_ticket,
        ('owner_frozen', 'zone_out_with', 'shards_under'),
    ),
)


def run_mutants(seeds: int, only: str = '') -> int:
    """Prints whether each mutant is caught; returns 1 if any survives, else 0."""
    survivors = 0
    chosen = [mutant for mutant in MUTANTS if only in mutant.name]
    for mutant in chosen:
        began = time.monotonic()
        found = find_violation(mutant, seeds)
        survivors += not found
        verdict = 'caught' if found else 'SURVIVED'
        spent_s = time.monotonic() - began
        print(f'{verdict:8} {spent_s:6.1f} s  {mutant.name}', flush=True)
        if found:
            print(f'    {found[:200]}', flush=True)
    print(f'{len(chosen) - survivors} caught, {survivors} survived')
    return 1 if survivors else 0


def find_violation(mutant: Mutant, seeds: int) -> str:
    """Returns the first violation found with the mutant applied, or an empty string."""
    original = getattr(mutant.target, mutant.attribute)
    replacement = mutant.make(original)
    tally = Tally()
    with ExitStack() as stack:
        stack.enter_context(
            mock.patch.object(mutant.target, mutant.attribute, replacement)
        )
        for check in sorted(CHECKS, key=lambda check: _rank(mutant, check.name)):
            for seed in seeds_of(check, seeds):
                check.run(tally, seed, seeds)
                found = _first_violation(tally)
                if found:
                    return found
    return ''


def _first_violation(tally: Tally) -> str:
    """Returns the first violation that is not an error caused by the patch itself.

    A patch that no longer matches the code raises errors such as `AttributeError`;
    these must not count as catching the mutant.
    """
    messages = (text for row in tally.counts.values() for text in row.violations)
    return next(
        (text for text in messages if not any(map(text.count, _PATCH_ERRORS))), ''
    )


def _rank(mutant: Mutant, name: str) -> int:
    matching = (rank for rank, part in enumerate(mutant.first) if part in name)
    return next(matching, len(mutant.first))
