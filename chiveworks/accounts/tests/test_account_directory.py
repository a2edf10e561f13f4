"""Tests of the directory of client accounts."""

import pytest

from chiveworks.accounts import AccountDirectory, ClientAccount, digest_key
from chiveworks.base import AccountName

KEY = 'gkcuyj8pjbvk9m68k7b2'


def _account(name: str, *keys: str, weight: float = 1.0) -> ClientAccount:
    return ClientAccount(AccountName(name), frozenset(map(digest_key, keys)), weight)


def test_accounts_are_found_by_each_of_their_keys():
    """Guards against clients that are refused although their key is valid."""
    first, second = _account('first', KEY, 'other'), _account('second', 'third')
    directory = AccountDirectory([first, second])
    assert directory.find(KEY) is first
    assert directory.find('other') is first
    assert directory.find('third') is second
    assert directory.find('none') is None
    assert directory.get(AccountName('second')) is second


def test_no_representation_contains_a_key():
    """Guards against keys in log lines and error messages."""
    account = _account('first', KEY)
    assert KEY not in repr(account)
    with pytest.raises(ValueError, match='not unique') as error:
        AccountDirectory([account, _account('second', KEY)])
    assert KEY not in str(error.value)


@pytest.mark.parametrize(
    'accounts',
    [
        [_account('')],
        [_account('twice'), _account('twice')],
        [_account('first', KEY), _account('second', KEY)],
        [_account('first', '')],
        [_account('first', weight=0)],
    ],
)
def test_an_ambiguous_directory_is_rejected(accounts):
    """Guards against a job that runs on behalf of the wrong account."""
    with pytest.raises(ValueError, match='account'):
        AccountDirectory(accounts)
