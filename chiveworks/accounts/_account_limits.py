"""Decides by the limits of client accounts whether tasks may start."""

from fractions import Fraction
from typing import Final

from chiveworks.accounts._account_directory import AccountDirectory
from chiveworks.accounts._account_usage import AccountUsage
from chiveworks.accounts._client_account import ClientAccount
from chiveworks.base import AccountName, Resources

#: Number of tasks that may start if no limited resource is asked for.
UNLIMITED: Final = 2**31
#: Largest denominator of an overrun, which makes sums with it exact.
_MAX_DENOMINATOR: Final = 1_000_000


class AccountLimits:
    """Keeps the running total of each account within its limit.

    The load that this answers: one client submits far more than its account may have
    running. A task starts only if the total with it stays within the limit. An account
    that runs nothing may start one task, or one gang within the overrun, although that
    exceeds the limit, since it could never run otherwise.

    An account that is missing in the latest directory keeps the limit that was known
    last. If none was ever known, it runs one task or gang at a time.

    Args:
        usage: What counts as running.
        overrun: Share by which the deployment allows the limits to be exceeded.
    """

    def __init__(self, usage: AccountUsage, overrun: float = 0) -> None:
        self._usage = usage
        self._overrun = overrun
        self._directory: AccountDirectory | None = None
        self._known: dict[AccountName, ClientAccount] = {}

    def learn(self, directory: AccountDirectory | None) -> None:
        """Takes over the accounts of the configuration that is in force.

        Args:
            directory: The accounts; None if the deployment has none, so that only the
                limits that were known before apply.
        """
        if directory is self._directory:
            return
        self._directory = directory
        if directory is not None:
            self._known.update((account.name, account) for account in directory)

    def account(self, name: AccountName) -> ClientAccount | None:
        """Returns an account as it was known last."""
        return self._known.get(name)

    def startable(self, name: AccountName, demand: Resources) -> int:
        """Returns how many tasks with a demand may start, each by itself."""
        running = self._usage.count(name)
        account = self._known.get(name)
        if account is None:
            return UNLIMITED if self._directory is None else int(not running)
        room = _room(account.limit, self._usage.used(name), demand)
        return room if running else max(room, 1)

    def may_start_gang(self, name: AccountName, demand: Resources, count: int) -> bool:
        """Tells whether `count` tasks may start together."""
        if self.startable(name, demand) >= count:
            return True
        account = self._known.get(name)
        if self._usage.count(name):
            return False
        return account is None or gang_fits(account, demand, count, self._overrun)

    def is_within(self, name: AccountName) -> bool:
        """Tells whether what an account has running is allowed.

        A single task always is.
        """
        if self._usage.count(name) <= 1:
            return True
        account = self._known.get(name)
        if account is None:
            return self._directory is None
        return _room(account.limit, self._usage.used(name), Resources()) > 0


def gang_fits(
    account: ClientAccount, demand: Resources, count: int, overrun: float
) -> bool:
    """Tells whether an account that runs nothing else may ever run a gang.

    The total must not exceed the limit with the overrun by more than one task.
    """
    others = Resources(
        *(amount * (count - 1) for amount in _amounts(demand)),
    )
    factor = 1 + Fraction(overrun).limit_denominator(_MAX_DENOMINATOR)
    return all(
        not limit or needed <= limit * factor
        for limit, needed in zip(_amounts(account.limit), _amounts(others), strict=True)
    )


def _room(limit: Resources, used: Resources, demand: Resources) -> int:
    """Returns how many tasks with a demand fit within a limit."""
    room = UNLIMITED
    for limited, claimed, needed in zip(
        _amounts(limit), _amounts(used), _amounts(demand), strict=True
    ):
        if not limited:
            continue
        if claimed > limited:
            return 0
        if needed:
            room = min(room, (limited - claimed) // needed)
    return room


def _amounts(resources: Resources) -> tuple[int, int, int]:
    return resources.cpu_millicores, resources.memory_bytes, resources.accelerators
