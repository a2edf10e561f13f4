"""Decoding of client accounts in the operators' configuration."""

import json

import pytest

from chiveworks.base import Resources
from chiveworks.platform._decoding import decode_operator_entry
from chiveworks.platform.tests.test_decoding import CONFIG

KEY = 'gkcuyj8pjbvk9m68k7b2'
TENANTS = [
    {
        'name': 'a',
        'api_keys': ['k', 'l'],
        'weight': 7,
        'priority': 1,
        'max_count': {'cpu': 777124, 'mem_mb': 1394, 'gpu': 0},
    }
]
ACCOUNT = {'name': 'a', 'api_keys': [KEY], 'weight': 7}


def decode(**fields):
    return decode_operator_entry('config', json.dumps({**CONFIG, **fields}).encode())


def test_accounts_are_decoded():
    """Guards against keys, limits or shares that are lost or in another unit."""
    accounts = decode(tenants=TENANTS).accounts
    account = accounts.get('a')
    assert len(accounts) == 1
    assert accounts.find('k') is account and accounts.find('l') is account
    assert account.weight == 7
    assert account.limit == Resources(777124, 1394 * 1024 * 1024, 0)


def test_omitted_fields_of_an_account_limit_nothing():
    """Guards against an account that can run nothing since it names no limit."""
    (account,) = decode(tenants=[{'name': 'b'}]).accounts
    assert account.limit == Resources() and account.weight == 1
    (account,) = decode(tenants=[{**ACCOUNT, 'max_count': {'cpu': 5}}]).accounts
    assert account.limit == Resources(5)


def test_no_accounts_differ_from_an_empty_list():
    """Guards against a deployment that serves anybody after its last account is gone."""
    assert decode(tenants=[]).accounts is not None
    assert decode(tenants=None).accounts is None
    assert decode().accounts is None


def test_routes_are_public_only_if_they_say_so():
    """Guards against a route that is opened by a field of another type."""
    (route,) = CONFIG['routes']
    for public, expected in ((True, True), (False, False), (None, False)):
        catalogue = decode(routes=[{**route, 'public': public}])
        assert catalogue.find('h', '/p/0').public is expected
    assert not decode().find('h', '/p/0').public
    for odd in ('false', 1, [], {}):
        with pytest.raises(ValueError, match='public'):
            decode(routes=[{**route, 'public': odd}])


@pytest.mark.parametrize(
    'tenants',
    [
        {'name': 'a'},
        'a',
        [KEY],
        [{**ACCOUNT, 'name': ''}],
        [{**ACCOUNT, 'name': 5}],
        [{'api_keys': [KEY]}],
        [{**ACCOUNT, 'api_keys': KEY}],
        [{**ACCOUNT, 'api_keys': [KEY, '']}],
        [{**ACCOUNT, 'api_keys': [KEY, 5]}],
        [{**ACCOUNT, 'api_keys': [KEY, '\ud800']}],
        [{**ACCOUNT, 'weight': 0}],
        [{**ACCOUNT, 'weight': -1}],
        [{**ACCOUNT, 'weight': '7'}],
        [{**ACCOUNT, 'max_count': 5}],
        [{**ACCOUNT, 'max_count': []}],
        [{**ACCOUNT, 'max_count': {'cpu': -1}}],
        [ACCOUNT, ACCOUNT],
        [ACCOUNT, {**ACCOUNT, 'name': 'b'}],
    ],
)
def test_malformed_accounts_make_the_configuration_unreadable(tenants):
    """Guards against calls served on behalf of the wrong account, and against keys in
    the logged reason."""
    with pytest.raises(ValueError) as error:
        decode(tenants=tenants)
    assert KEY not in str(error.value)
