"""Lets accounts below their shares go first while tasks wait for capacity."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Sequence
from math import inf
from typing import Final

from chiveworks.accounts import AccountDemand, FairShares
from chiveworks.base import AccountName
from chiveworks.dispatch._account_gate import AccountGate
from chiveworks.workflow import Job, StepRun, Task

#: Weight of an account that is not known.
DEFAULT_WEIGHT: Final = 1.0


class ShareOrder:
    """Steps in the order of a round; those of accounts above their shares come later.

    A share is one of the processors of a service that jobs without an account leave.
    Steps of accounts that have claimed their shares come after the other steps of their
    priority, interrupted lasting ones excepted. Claims of the round count, so that a
    backlog that arrives at once takes no more than its share first.

    Args:
        ordered: Steps in the order of urgency.
        gate: Knows the accounts and what they have claimed.
        service_of: Returns the service that currently runs a job's tasks.
        load_of: Returns the processors of a service's workers and those that are
            claimed, in millicores.
    """

    def __init__(
        self,
        ordered: Sequence[StepRun],
        gate: AccountGate,
        service_of: Callable[[Job], str],
        load_of: Callable[[str], tuple[int, int]],
    ) -> None:
        self._ordered = ordered
        self._gate = gate
        self._usage = gate.ledger.by_service
        self._services: dict[str, str] = {}
        self._service_of = service_of
        self._deferred: list[StepRun] = []
        # Whether the step that was yielded last has been deferred before.
        self._last_turn = False
        self._shares: dict[str, FairShares] = {}
        for service, waiting in self._waiting().items():
            shares = self._divide(service, waiting, *load_of(service))
            if shares.scarce:
                self._shares[service] = shares

    def __iter__(self) -> Iterator[StepRun]:
        """Yields the steps; a step may come a second time for its deferred tasks."""
        if not self._shares:
            yield from self._ordered
            return
        priority = None
        for run in self._ordered:
            if run.job.queue.priority != priority:
                yield from self._yield_deferred()
                priority = run.job.queue.priority
            if self._room(run) > 0:
                yield run
            else:
                self._deferred.append(run)
        yield from self._yield_deferred()

    def first(self, run: StepRun, waiting: list[Task]) -> list[Task]:
        """Returns the tasks that may start now; the step comes again for the others.

        The last one may exceed the share, so that shares smaller than a task are used.
        Tasks that belong together are not divided.
        """
        if self._last_turn or run.spec.gang or run.spec.tightly_coupled:
            return waiting
        room, needed = self._room(run), run.spec.demand.cpu_millicores
        if not needed or room >= len(waiting) * needed:
            return waiting
        self._deferred.append(run)
        return waiting[: -int(-room // needed)]

    def postpone(self, run: StepRun) -> bool:
        """Leaves a step to its second turn; returns whether that is still ahead."""
        if self._last_turn or not self._shares:
            return False
        self._deferred.append(run)
        return True

    def _yield_deferred(self) -> Iterator[StepRun]:
        deferred = self._deferred
        self._deferred = []
        self._last_turn = True
        yield from deferred
        self._last_turn = False

    def _room(self, run: StepRun) -> float:
        """Returns the millicores up to the share of a step's account."""
        account = run.job.account
        if not account or not self._shares:
            return inf
        service = self._service(run.job)
        shares = self._shares.get(service)
        if shares is None:
            return inf
        room = shares.share(account) - self._usage[service].used(account).cpu_millicores
        return inf if room <= 0 and run.interrupted_at is not None else room

    def _divide(
        self,
        service: str,
        waiting: Counter[AccountName],
        capacity_millicores: int,
        claimed_millicores: int,
    ) -> FairShares:
        usage = self._usage[service]
        demands = []
        claimed_by_accounts = 0
        names = {*usage, *waiting}
        for name in names:
            account = self._gate.limits.account(name)
            used = usage.used(name).cpu_millicores
            claimed_by_accounts += used
            wanted = used + waiting[name]
            if account and account.limit.cpu_millicores:
                wanted = max(used, min(wanted, account.limit.cpu_millicores))
            weight = account.weight if account else DEFAULT_WEIGHT
            demands.append(AccountDemand(name, weight, wanted))
        claimed_by_others = max(claimed_millicores - claimed_by_accounts, 0)
        return FairShares(capacity_millicores - claimed_by_others, demands)

    def _waiting(self) -> dict[str, Counter[AccountName]]:
        """Returns the millicores of the accounts' waiting tasks, by service."""
        waiting: defaultdict[str, Counter[AccountName]] = defaultdict(Counter)
        for run in self._ordered:
            account = run.job.account
            if account and not self._gate.blocks(run):
                held = self._gate.ledger.held(run)
                count = len(run.tasks) - run.done_count - held
                millicores = max(count, 0) * run.spec.demand.cpu_millicores
                waiting[self._service(run.job)][account] += millicores
        return waiting

    def _service(self, job: Job) -> str:
        # The lookup in the configuration takes longer than that of the queue's name.
        name = job.queue.name
        service = self._services.get(name)
        if service is None:
            service = self._service_of(job)
            self._services[name] = service
        return service
