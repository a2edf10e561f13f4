"""Deployment in memory whose jobs belong to accounts with limits."""

from datetime import timedelta

from chiveworks.accounts import AccountDirectory, ClientAccount
from chiveworks.base import AccountName, Resources
from chiveworks.dispatch.tests.deployment import InMemoryDeployment

CORE = Resources(1000, 1)
LONG = timedelta(seconds=30)


class AccountDeployment(InMemoryDeployment):
    """Records the highest total that the workers have had running of each account.

    What runs is taken from the workers, not from the scheduler.
    """

    def __init__(self, workers=2, cores=4, duration=LONG):
        super().__init__(workers, cores)
        self.highest = {}
        self._demands = {}
        for runner in self.runners.values():
            runner._duration = duration

    def limit(self, millicores, *, memory=0, accelerators=0, weight=1.0, name='a'):
        """Sets the limit of an account and keeps the other accounts."""
        known = {account.name: account for account in self.accounts or ()}
        known[name] = ClientAccount(
            AccountName(name),
            weight=weight,
            limit=Resources(millicores, memory, accelerators),
        )
        self.accounts = AccountDirectory(list(known.values()))

    async def submit(self, name, *steps, account='a', **fields):
        self._demands[name] = (account, [step.demand for step in steps])
        return await super().submit(name, *steps, account=account, **fields)

    def running(self, account='a'):
        """Returns the millicores that all workers run for an account."""
        total = 0
        for runner in self.runners.values():
            for ref in runner.running:
                owner, demands = self._demands[ref.job_id]
                total += demands[ref.step].cpu_millicores * (owner == account)
        return total

    async def wait(self, seconds):
        """Waits, and looks at the workers every 20 ms."""
        for _ in range(max(1, round(seconds * 50))):
            await super().wait(min(seconds, 0.02))
            for account in {owner for owner, _ in self._demands.values()}:
                total = self.running(account)
                self.highest[account] = max(self.highest.get(account, 0), total)

    def scheduler(self):
        """Returns the scheduler of the process that leads."""
        (scheduler,) = [
            leader.scheduler
            for leader in self.leaders.values()
            if leader.scheduler is not None
        ]
        return scheduler

    def counted(self, account='a'):
        """Returns the millicores that the leader counts for an account."""
        return self.scheduler().ledger.usage.used(AccountName(account)).cpu_millicores
