"""Rate limit, backoff and circuit breaker for calls of the platform's service.

The service is shared, meters every call, and has outages. Each node uses a
token bucket far below its share, a circuit breaker that stops calls while the
service does not answer, and exponential backoff with jitter, which prevents all
nodes from calling in the same second when an outage ends.
"""

import random

_OPEN_AFTER_FAILURES = 3


class CallBudget:
    """Token bucket for calls.

    Args:
        rate_per_s: Refill rate in calls per second.
        burst: Capacity of the bucket in calls.
    """

    def __init__(self, rate_per_s: float, burst: int):
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = float(burst)
        self._refilled_at_s: float | None = None

    def take(self, now_s: float) -> bool:
        """Takes a token for one call; returns whether there was one."""
        if self._refilled_at_s is not None:
            self._tokens += (now_s - self._refilled_at_s) * self._rate_per_s
            if self._tokens > self._burst:
                self._tokens = float(self._burst)
        self._refilled_at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Backoff:
    """Exponential backoff with jitter, and a circuit breaker.

    Each wait is drawn from the upper half of its bound. The breaker opens after
    several failures in a row.

    Args:
        first_s: Upper bound of the first wait.
        max_s: Upper bound of all waits.
        rng: Source of randomness.
    """

    def __init__(self, first_s: float, max_s: float, rng: random.Random):
        self._first_s = first_s
        self._max_s = max_s
        self._rng = rng
        self._failures = 0
        self._not_before_s = 0.0

    @property
    def failures(self) -> int:
        """Number of failures in a row."""
        return self._failures

    def open(self, now_s: float) -> bool:
        """Whether the breaker rejects calls now."""
        waiting = now_s < self._not_before_s
        return self._failures >= _OPEN_AFTER_FAILURES and waiting

    def wait_s(self, now_s: float) -> float:
        """Returns the remaining wait before the next call."""
        return max(0.0, self._not_before_s - now_s)

    def failed(self, now_s: float) -> float:
        """Records a failure; returns the wait before the next call."""
        bound_s = min(self._max_s, self._first_s * 2**self._failures)
        self._failures = min(self._failures + 1, 30)
        wait_s = self._rng.uniform(bound_s / 2, bound_s)
        self._not_before_s = now_s + wait_s
        return wait_s

    def succeeded(self) -> None:
        """Records a success: closes the breaker and resets the backoff."""
        self._failures = 0
        self._not_before_s = 0.0
