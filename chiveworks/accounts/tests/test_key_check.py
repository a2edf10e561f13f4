"""Decisions on the key of a call."""

from datetime import timedelta

import pytest

from chiveworks.accounts import (
    AccountDirectory,
    ClientAccount,
    KeyCheck,
    KeyRefusal,
    digest_key,
)
from chiveworks.base import AccountName

KEY = 'gkcuyj8pjbvk9m68k7b2'
NAME = AccountName('first')
DIRECTORY = AccountDirectory([ClientAccount(NAME, frozenset((digest_key(KEY),)))])
LIMIT = timedelta(seconds=5)
CONFIRMED_AT = timedelta(seconds=100)


def decide(authorization, age_ms=0, directory=DIRECTORY, public=False, limit=LIMIT):
    now = CONFIRMED_AT + timedelta(milliseconds=age_ms)
    check = KeyCheck(limit)
    return check.decide(authorization, directory, CONFIRMED_AT, now, public=public)


@pytest.mark.parametrize(
    'authorization',
    [f'Bearer {KEY}', f'bearer {KEY}', f'BEARER \t {KEY}', f' Bearer {KEY} '],
)
def test_a_key_names_its_account(authorization):
    """Guards against clients that are refused for the spelling of the scheme."""
    assert decide(authorization) == NAME


@pytest.mark.parametrize(
    'authorization',
    [None, '', 'Bearer', 'Bearer ', KEY, f'Basic {KEY}', f'Bearer{KEY}', '\udce9'],
)
def test_a_call_without_a_readable_key_is_refused(authorization):
    """Guards against calls that are served for an account without its key."""
    assert decide(authorization) is KeyRefusal.MISSING


@pytest.mark.parametrize('key', ['x', KEY.upper(), f'{KEY} {KEY}', '\udce9', '\ud800'])
def test_an_unknown_key_is_refused(key):
    """Guards against an error, or a match, for keys that no account has."""
    assert decide(f'Bearer {key}') is KeyRefusal.UNKNOWN


def test_an_empty_directory_refuses_all_keys():
    """Guards against a deployment that serves anybody after its last account is gone."""
    assert decide(f'Bearer {KEY}', directory=AccountDirectory()) is KeyRefusal.UNKNOWN
    assert decide(None, directory=AccountDirectory()) is KeyRefusal.MISSING


def test_a_confirmation_holds_for_its_share_of_the_limit():
    """Guards against a process that serves revoked keys beyond the limit."""
    assert decide(f'Bearer {KEY}', 3999) == NAME
    assert decide(f'Bearer {KEY}', 4000) is KeyRefusal.UNCONFIRMED
    assert decide(f'Bearer {KEY}', 10**9, limit=None) == NAME


def test_an_old_configuration_does_not_tell_that_a_key_is_unknown():
    """Guards against 401 for a key that was added a moment ago."""
    assert decide('Bearer new', 4000) is KeyRefusal.UNCONFIRMED


def test_nothing_is_confirmed_before_the_first_listing():
    """Guards against keys that are accepted on a configuration that is being read."""
    outcome = KeyCheck(LIMIT).decide(
        f'Bearer {KEY}', DIRECTORY, None, timedelta(), public=False
    )
    assert outcome is KeyRefusal.UNCONFIRMED


@pytest.mark.parametrize('authorization', [None, 'Bearer x', f'Bearer {KEY}'])
def test_calls_that_need_no_key_have_no_account(authorization):
    """Guards against checks where a deployment or a route asks for no key."""
    assert decide(authorization, 10**9, public=True) == ''
    assert decide(authorization, 10**9, directory=None) == ''
