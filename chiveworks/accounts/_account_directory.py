"""All client accounts in one version of the configuration."""

from collections.abc import Iterator, Sequence

from chiveworks.accounts._client_account import ClientAccount, digest_key
from chiveworks.base import AccountName


class AccountDirectory:
    """Finds accounts by name and by key; immutable.

    Args:
        accounts: The accounts.

    Raises:
        ValueError: A name or a key occurs twice or is empty, or a weight is not above 0.
    """

    def __init__(self, accounts: Sequence[ClientAccount] = ()) -> None:
        self._by_name: dict[AccountName, ClientAccount] = {}
        self._by_digest: dict[bytes, ClientAccount] = {}
        for account in accounts:
            self._add(account)

    def __len__(self) -> int:
        return len(self._by_name)

    def __iter__(self) -> Iterator[ClientAccount]:
        return iter(self._by_name.values())

    def get(self, name: AccountName) -> ClientAccount | None:
        """Returns the account with a name."""
        return self._by_name.get(name)

    def find(self, key: str) -> ClientAccount | None:
        """Returns the account that a key belongs to."""
        return self._by_digest.get(digest_key(key))

    def _add(self, account: ClientAccount) -> None:
        if not account.name or account.name in self._by_name:
            raise ValueError(
                f'the account name {account.name!r} is empty or not unique'
            )
        if not account.weight > 0:
            raise ValueError(f'the weight of account {account.name} is not above 0')
        self._by_name[account.name] = account
        for digest in account.key_digests:
            if digest in self._by_digest or digest == _EMPTY_KEY:
                raise ValueError(f'account {account.name} has a key that is not unique')
            self._by_digest[digest] = account


_EMPTY_KEY = digest_key('')
