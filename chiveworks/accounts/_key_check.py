"""Decides by its key whether a call is served."""

import re
from datetime import timedelta
from typing import Final

from chiveworks.accounts._account_directory import AccountDirectory
from chiveworks.accounts._key_refusal import KeyRefusal
from chiveworks.base import AccountName

#: Part of the revocation limit for which a confirmation of the configuration holds. The
#: rest covers differences in speed between the clocks of the process and its clients.
CONFIRMATION_SHARE: Final = 0.8
#: Part of the revocation limit after which the configuration is confirmed anew at the
#: latest. A confirmation is up to two such periods old when the next one arrives, and
#: one more attempt that times out and is repeated must fit as well. With a timeout of
#: 0.7 s beyond the wait and answers after 0.24 s, it fits for limits from about 3.5 s.
CONFIRMATION_PERIOD_SHARE: Final = 0.2
#: Bounds the calls to the store where the limit is very short.
MIN_CONFIRMATION_PERIOD: Final = timedelta(milliseconds=100)
_NO_ACCOUNT: Final = AccountName('')
_BEARER: Final = re.compile(r'bearer[ \t]+(.+)', re.IGNORECASE)


class KeyCheck:
    """Finds the account of a call, or the reason for which the call is refused.

    The load that it handles: clients whose keys were revoked keep calling, also through
    processes that no longer learn of changes. A process that has not heard of the
    configuration lately cannot tell these clients from others, so it refuses all calls
    that need a key.

    Args:
        revocation_limit: Time after which no call with a revoked key may be served; None
            if the age of the configuration does not matter.

    Attributes:
        confirmation_period: Longest time between two confirmations of the configuration
            with which calls are served; None if it may be of any age.
    """

    def __init__(self, revocation_limit: timedelta | None = None) -> None:
        self.confirmation_period: timedelta | None = None
        self._max_age: timedelta | None = None
        if revocation_limit is not None:
            self._max_age = CONFIRMATION_SHARE * revocation_limit
            self.confirmation_period = max(
                CONFIRMATION_PERIOD_SHARE * revocation_limit, MIN_CONFIRMATION_PERIOD
            )

    def decide(
        self,
        authorization: str | None,
        directory: AccountDirectory | None,
        confirmed_at: timedelta | None,
        now: timedelta,
        *,
        public: bool,
    ) -> AccountName | KeyRefusal:
        """Returns the account of a call, or why it is refused.

        Args:
            authorization: Content of the `Authorization` header; None if it is missing.
            directory: Accounts of the newest known configuration; None if it has none.
            confirmed_at: Time up to which the configuration is known; None if it is not.
            now: Current time of the clock of `confirmed_at`.
            public: Whether calls of the route need no key.

        Returns:
            The name of the account; empty if the call needs no key.
        """
        if directory is None or public:
            return _NO_ACCOUNT
        key = _read_key(authorization or '')
        if not key:
            return KeyRefusal.MISSING
        # Before the lookup, as the key may have been added as well.
        if not self._is_confirmed(confirmed_at, now):
            return KeyRefusal.UNCONFIRMED
        account = directory.find(key)
        return KeyRefusal.UNKNOWN if account is None else account.name

    def _is_confirmed(self, confirmed_at: timedelta | None, now: timedelta) -> bool:
        if self._max_age is None:
            return True
        return confirmed_at is not None and now - confirmed_at < self._max_age


def _read_key(authorization: str) -> str:
    """Returns the key in a header; empty if the header has another form."""
    match = _BEARER.fullmatch(authorization.strip())
    return match.group(1) if match else ''
