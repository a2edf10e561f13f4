"""What the running tasks of each client account claim."""

from collections import Counter
from collections.abc import Iterator

from chiveworks.base import AccountName, Resources

_NOTHING = Resources()


class AccountUsage:
    """Sums of the demands of the counted tasks, by account.

    Sums change with each claim and each end, so that reading one takes no pass over
    the tasks.
    """

    def __init__(self) -> None:
        self._used: dict[AccountName, Resources] = {}
        self._counts: Counter[AccountName] = Counter()

    def __iter__(self) -> Iterator[AccountName]:
        """Yields the accounts with counted tasks."""
        return iter(self._used)

    def add(self, account: AccountName, demand: Resources) -> None:
        """Counts a task."""
        self._used[account] = self.used(account) + demand
        self._counts[account] += 1

    def remove(self, account: AccountName, demand: Resources) -> None:
        """Ends the count of a task.

        Raises:
            ValueError: No task of the account is counted.
        """
        if account not in self._used:
            raise ValueError(f'no task of account {account} is counted')
        self._counts[account] -= 1
        if self._counts[account]:
            self._used[account] -= demand
        else:
            self._counts.pop(account)
            self._used.pop(account)

    def used(self, account: AccountName) -> Resources:
        """Returns the sum of the demands of an account's counted tasks."""
        return self._used.get(account, _NOTHING)

    def count(self, account: AccountName) -> int:
        """Returns the number of an account's counted tasks."""
        return self._counts[account]
