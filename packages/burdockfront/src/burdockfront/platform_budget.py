"""What the platform's service may be asked, and when.

The service is shared, counts every call, and has outages. Each node holds a
token bucket far below its share, a breaker that stops asking while nothing
answers, and waits that grow with jitter, so that the end of an outage is not
met by all nodes in the same second.
"""

import random

_OPEN_AFTER_FAILURES = 3


class CallBudget:
    """A token bucket.

    Args:
        rate_per_s: Calls per second in the long run.
        burst: Calls that may come at once.
    """

    def __init__(self, rate_per_s: float, burst: int):
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = float(burst)
        self._at_s: float | None = None

    def take(self, now_s: float) -> bool:
        """Takes one call, if the budget allows."""
        if self._at_s is not None:
            earned = (now_s - self._at_s) * self._rate_per_s
            self._tokens = min(float(self._burst), self._tokens + earned)
        self._at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Backoff:
    """Growing waits with full jitter, and a breaker.

    Args:
        first_s: Upper bound of the first wait.
        most_s: Upper bound of all waits.
        rng: Source of randomness.
    """

    def __init__(self, first_s: float, most_s: float, rng: random.Random):
        self._first_s = first_s
        self._most_s = most_s
        self._rng = rng
        self._failures = 0
        self._not_before_s = 0.0

    @property
    def failures(self) -> int:
        """Failures in a row."""
        return self._failures

    def open(self, now_s: float) -> bool:
        """Tells whether the breaker forbids a call now."""
        waiting = now_s < self._not_before_s
        return self._failures >= _OPEN_AFTER_FAILURES and waiting

    def wait_s(self, now_s: float) -> float:
        """Returns how long to wait from now on before the next call."""
        return max(0.0, self._not_before_s - now_s)

    def failed(self, now_s: float) -> float:
        """Notes a failure and returns how long to wait."""
        bound_s = min(self._most_s, self._first_s * 2**self._failures)
        self._failures = min(self._failures + 1, 30)
        wait_s = self._rng.uniform(bound_s / 2, bound_s)
        self._not_before_s = now_s + wait_s
        return wait_s

    def succeeded(self) -> None:
        """Closes the breaker."""
        self._failures = 0
        self._not_before_s = 0.0
