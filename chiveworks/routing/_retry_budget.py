"""Limit of retries relative to the number of requests."""

from chiveworks.base import check_positive, check_share


class RetryBudget:
    """Token bucket to which a request adds `share` and from which a retry takes 1.

    If all requests fail, `n` requests cause at most `n * share + reserve` retries.
    """

    def __init__(self, share: float, reserve: float) -> None:
        self._share = share
        self._reserve = reserve
        self._tokens = reserve

    def deposit(self) -> None:
        """Adds the share of a request."""
        check_share('retry_share', self._share)
        check_positive('retry_reserve', self._reserve)
        self._tokens = min(self._tokens + self._share, self._reserve)

    def try_spend(self) -> bool:
        """Takes a token for a retry; returns False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
