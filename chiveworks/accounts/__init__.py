"""Client accounts: their keys, their limits and their shares of the workers."""

from chiveworks.accounts._account_directory import AccountDirectory
from chiveworks.accounts._client_account import ClientAccount, digest_key

__all__ = (
    'AccountDirectory',
    'ClientAccount',
    'digest_key',
)
