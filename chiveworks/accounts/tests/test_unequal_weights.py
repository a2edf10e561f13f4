"""Tests fair shares of accounts whose weights differ by many orders of magnitude."""

import pytest

from chiveworks.accounts import AccountDemand, FairShares
from chiveworks.base import AccountName


@pytest.mark.parametrize('weights', ((1e13, 1e-4), (1e-4, 1e13), (1e13, 1, 1e-4)))
def test_small_weights_beside_large_ones_are_divided(weights):
    """Guards against a division by zero, which ends the term of each leader: the
    difference of the sum and a large weight loses the small ones."""
    demands = [
        # Accounts with more weight want less for it and are satisfied first.
        AccountDemand(AccountName(str(number)), weight, 8000)
        for number, weight in enumerate(weights)
    ]
    shares = FairShares(10_000, demands)
    total = sum(shares.share(demand.account) for demand in demands)
    assert total == pytest.approx(10_000)
