"""Client accounts: their keys, their limits and their shares of the workers."""

from chiveworks.accounts._account_directory import AccountDirectory
from chiveworks.accounts._account_limits import AccountLimits, gang_fits
from chiveworks.accounts._account_usage import AccountUsage
from chiveworks.accounts._client_account import ClientAccount, digest_key

__all__ = (
    'AccountDirectory',
    'AccountLimits',
    'AccountUsage',
    'ClientAccount',
    'digest_key',
    'gang_fits',
)
