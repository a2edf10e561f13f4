"""Tests how accounts share the processors that do not suffice for all of them."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chiveworks.accounts import AccountDemand, FairShares
from chiveworks.base import AccountName


def shares(capacity, *demands):
    """Divides among accounts, each given as its weight and what it wants."""
    divided = FairShares(
        capacity,
        [
            AccountDemand(AccountName(str(number)), weight, wanted)
            for number, (weight, wanted) in enumerate(demands)
        ],
    )
    return [divided.share(AccountName(str(number))) for number in range(len(demands))]


@pytest.mark.parametrize(
    ('demands', 'expected'),
    [
        ([(1, 500), (1, 500)], [50, 50]),
        ([(3, 500), (1, 500)], [75, 25]),
        # What the first account cannot use is shared by weight among the others.
        ([(1, 10), (2, 500), (1, 500)], [10, 60, 30]),
        ([(1, 10), (1, 30), (1, 500)], [10, 30, 60]),
        ([(1, 0), (1, 500)], [0, 100]),
        ([(1, 40), (1, 60)], [40, 60]),
        ([(1, 4), (1, 6)], [4, 6]),
    ],
)
def test_shares_are_max_min_fair_by_weight(demands, expected):
    """Guards against capacity that no account gets, and against an account that gets
    more than its part while another wants more."""
    assert shares(100, *demands) == pytest.approx(expected)


def test_no_capacity_is_divided_into_nothing():
    """Guards against shares below zero while others have claimed more than there is."""
    assert shares(-5, (1, 10), (1, 20)) == [0, 0]


def test_an_unknown_account_has_no_share():
    """Guards against an error for an account that claims nothing."""
    assert FairShares(10, []).share(AccountName('a')) == 0


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.integers(0, 200),
    st.lists(
        st.tuples(st.sampled_from((0.5, 1, 2, 7)), st.integers(0, 90)), min_size=1
    ),
)
def test_shares_use_the_capacity_and_favour_nobody(capacity, demands):
    """Guards against shares that differ from max-min fairness for some demands."""
    parts = shares(capacity, *demands)
    wanted = sum(want for _weight, want in demands)
    assert sum(parts) == pytest.approx(min(capacity, wanted))
    levels = [part / weight for part, (weight, _want) in zip(parts, demands)]
    for part, (weight, want) in zip(parts, demands):
        assert part <= want
        if part < want - 1e-6:
            assert part / weight == pytest.approx(max(levels))
