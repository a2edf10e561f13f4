"""Holds back the tasks that the limits of client accounts forbid to start."""

from collections.abc import Callable
from datetime import timedelta
from typing import Final

from chiveworks.accounts import AccountDirectory, AccountLimits
from chiveworks.base import AccountName, Clock, Resources
from chiveworks.dispatch._claim_ledger import ClaimLedger
from chiveworks.events import EventLog
from chiveworks.workflow import Job, StepRun, Task

#: Minimum time between two lines about accounts that have reached their limits.
LINE_INTERVAL: Final = timedelta(seconds=1)

#: Returns the client accounts in force; None if the deployment has none.
AccountSource = Callable[[], AccountDirectory | None]


def no_accounts() -> None:
    """Returns that the deployment has no client accounts."""


class AccountGate:
    """Compares waiting tasks with the limits of their accounts.

    The load that this answers: accounts at their limits keep submitting, so that most
    of the waiting steps cannot start. Each of them costs a round only a comparison of
    sums, and no search for a worker. Tasks without an account pass.

    Args:
        clock: Source of time.
        log: Event log for accounts that reach their limits.
        service_of: Returns the service that currently runs a job's tasks.
        accounts: Returns the accounts in force; None if the deployment has none.
        overrun: Share by which the deployment allows limits to be exceeded.

    Attributes:
        ledger: What the tasks of each account claim.
        limits: Limits of the accounts.
    """

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        service_of: Callable[[Job], str],
        accounts: AccountSource,
        overrun: float = 0,
    ) -> None:
        self._clock = clock
        self._log = log
        self.ledger = ClaimLedger(service_of)
        self._accounts = accounts
        self.limits = AccountLimits(self.ledger.usage, overrun)
        # Claims of a round only add to the totals, so what is blocked stays so.
        self._blocked: set[tuple[AccountName, Resources]] = set()
        self._at_limit: set[AccountName] = set()
        self._logged_at = -LINE_INTERVAL

    def refresh(self) -> None:
        """Takes over the accounts in force; call it at the beginning of a round."""
        self.limits.learn(self._accounts())
        if self._blocked or self._at_limit:
            self._at_limit &= {account for account, _demand in self._blocked}
            self._blocked.clear()

    def blocks(self, run: StepRun) -> bool:
        """Tells whether certainly no waiting task of a step may start in this round."""
        account = run.job.account
        if not account:
            return False
        key = (account, run.spec.demand)
        if key not in self._blocked:
            if self._may_start_any(run):
                return False
            self._note_limit(account)
            if not run.spec.gang:
                self._blocked.add(key)
        # A counted task may be one that waits with a reservation.
        return not self.ledger.held(run)

    def startable(self, run: StepRun, waiting: list[Task]) -> list[Task]:
        """Returns the waiting tasks of a step that may start now, all together."""
        account = run.job.account
        if not account:
            return waiting
        limits, demand = self.limits, run.spec.demand
        if run.spec.gang:
            fits = limits.may_start_gang(account, demand, len(waiting))
            return waiting if fits else []
        reserved = [task for task in waiting if self.ledger.holds(task)]
        others = [task for task in waiting if not self.ledger.holds(task)]
        if not limits.is_within(account):
            reserved = []
        return reserved + others[: limits.startable(account, demand)]

    def permits(self, task: Task) -> bool:
        """Tells whether the limit lets a task start, or start again if it is counted."""
        account = task.step_run.job.account
        if not account:
            return True
        # No round takes place while nothing waits.
        self.limits.learn(self._accounts())
        if self.ledger.holds(task):
            return self.limits.is_within(account)
        return self._may_start_any(task.step_run)

    def _may_start_any(self, run: StepRun) -> bool:
        account, spec = run.job.account, run.spec
        if spec.gang:
            return self.limits.may_start_gang(account, spec.demand, spec.count)
        return self.limits.startable(account, spec.demand) > 0

    def _note_limit(self, name: AccountName) -> None:
        """Logs that an account has reached its limit, unless it was there before."""
        now = self._clock.monotonic()
        if name in self._at_limit or now - self._logged_at < LINE_INTERVAL:
            return
        self._at_limit.add(name)
        self._logged_at = now
        account = self.limits.account(name)
        self._log.write(
            'account_at_limit',
            account=name,
            runs=self.ledger.usage.count(name),
            **_amounts('used', self.ledger.usage.used(name)),
            **_amounts('limit', account.limit if account else Resources()),
        )


def _amounts(prefix: str, resources: Resources) -> dict[str, int]:
    return {
        f'{prefix}_cpu_millicores': resources.cpu_millicores,
        f'{prefix}_memory_bytes': resources.memory_bytes,
        f'{prefix}_accelerators': resources.accelerators,
    }
