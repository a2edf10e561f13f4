"""Reasons for which a call is refused by its key."""

import enum


class KeyRefusal(enum.Enum):
    """Why a call is not served for any account."""

    #: There is no key, or the header has another form.
    MISSING = 'missing'
    #: No account has the key.
    UNKNOWN = 'unknown'
    #: The key may have been revoked, as the configuration is not known to be current.
    UNCONFIRMED = 'unconfirmed'
