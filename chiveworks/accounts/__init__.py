"""Client accounts: their keys, their limits and their shares of the workers."""

from chiveworks.accounts._account_directory import AccountDirectory
from chiveworks.accounts._account_limits import AccountLimits, gang_fits
from chiveworks.accounts._account_usage import AccountUsage
from chiveworks.accounts._client_account import ClientAccount, digest_key
from chiveworks.accounts._fair_shares import AccountDemand, FairShares
from chiveworks.accounts._key_check import KeyCheck
from chiveworks.accounts._key_refusal import KeyRefusal

__all__ = (
    'AccountDemand',
    'AccountDirectory',
    'AccountLimits',
    'AccountUsage',
    'ClientAccount',
    'FairShares',
    'KeyCheck',
    'KeyRefusal',
    'digest_key',
    'gang_fits',
)
