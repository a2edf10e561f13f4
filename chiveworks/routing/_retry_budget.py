"""Bound on retries relative to requests."""

from chiveworks.base import check_positive, check_share


class RetryBudget:
    """Token bucket that each request fills by a share and each retry empties by 1.

    Under total failure `n` requests cause at most `n * share + reserve` retries.
    """

    def __init__(self, share: float, reserve: float) -> None:
        self._share = share
        self._reserve = reserve
        self._tokens = reserve

    def deposit(self) -> None:
        """Notes a request."""
        check_share('retry_share', self._share)
        check_positive('retry_reserve', self._reserve)
        self._tokens = min(self._tokens + self._share, self._reserve)

    def try_spend(self) -> bool:
        """Takes a token for a retry; False when there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
