"""Token bucket for rate limits."""

from datetime import timedelta


class TokenBucket:
    """Tokens that accumulate at a fixed rate up to a maximum."""

    def __init__(self, rate_per_s: float, burst: float, now: timedelta) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._filled_at = now

    def reconfigure(self, rate_per_s: float, burst: float) -> None:
        """Changes the rate and burst and keeps the accumulated tokens."""
        self._rate_per_s = rate_per_s
        self._burst = burst

    def try_take(self, now: timedelta) -> timedelta | None:
        """Takes a token.

        Returns:
            None if a token was taken, otherwise the time until one is available.
        """
        elapsed = (now - self._filled_at).total_seconds()
        self._tokens = min(self._tokens + elapsed * self._rate_per_s, self._burst)
        self._filled_at = now
        if self._tokens >= 1:
            self._tokens -= 1
            return None
        return timedelta(seconds=(1 - self._tokens) / self._rate_per_s)
