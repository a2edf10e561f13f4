"""Weighted shares of client accounts in the processors of a service."""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import accumulate

from chiveworks.base import AccountName


@dataclass(frozen=True, slots=True)
class AccountDemand:
    """What an account could use.

    Attributes:
        account: Name of the account.
        weight: Weight of its share.
        wanted_millicores: Processors that its running and waiting tasks claim, as far
            as its limit lets them run.
    """

    account: AccountName
    weight: float
    wanted_millicores: int


class FairShares:
    """Max-min fair shares: what an account cannot use is divided among the others.

    The load that this answers: one account sends many times its usual load. While the
    processors do not suffice for all, it gets those that the others leave, and at least
    its share by weight.

    Args:
        capacity_millicores: Processors that the accounts share.
        demands: What each account could use.

    Attributes:
        scarce: Whether the processors do not suffice for all; otherwise each account
            has what it wants as its share.
    """

    def __init__(
        self, capacity_millicores: int, demands: Sequence[AccountDemand]
    ) -> None:
        wanted = sum(demand.wanted_millicores for demand in demands)
        self.scarce = wanted > capacity_millicores
        self._shares: dict[AccountName, float] = {
            demand.account: demand.wanted_millicores for demand in demands
        }
        if self.scarce:
            self._divide(capacity_millicores, demands)

    def share(self, account: AccountName) -> float:
        """Returns the millicores that an account may claim before others come first."""
        return self._shares.get(account, 0)

    def _divide(self, capacity: float, demands: Sequence[AccountDemand]) -> None:
        # Accounts that want least for their weight are satisfied first.
        ordered = sorted(demands, key=_wanted_for_weight)
        # Sums from the end: differences of a sum lose weights much smaller than others.
        weights = list(accumulate(demand.weight for demand in reversed(ordered)))
        for demand, weight in zip(ordered, reversed(weights), strict=True):
            part = max(capacity, 0) * demand.weight / weight
            share = min(part, demand.wanted_millicores)
            self._shares[demand.account] = share
            capacity -= share


def _wanted_for_weight(demand: AccountDemand) -> float:
    return demand.wanted_millicores / demand.weight
