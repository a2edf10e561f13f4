"""Rate limit."""

from datetime import timedelta


class TokenBucket:
    """Tokens that accumulate with time up to a bound."""

    def __init__(self, rate_per_s: float, burst: float, now: timedelta) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._filled_at = now

    def reconfigure(self, rate_per_s: float, burst: float) -> None:
        """Takes over a changed limit and keeps the tokens."""
        self._rate_per_s = rate_per_s
        self._burst = burst

    def try_take(self, now: timedelta) -> timedelta | None:
        """Takes a token; returns the time until there is one if there is none."""
        elapsed = (now - self._filled_at).total_seconds()
        self._tokens = min(self._tokens + elapsed * self._rate_per_s, self._burst)
        self._filled_at = now
        if self._tokens >= 1:
            self._tokens -= 1
            return None
        return timedelta(seconds=(1 - self._tokens) / self._rate_per_s)
