"""Holds the rate that a backend server names, where all its requests pass.

A token bucket that begins empty, with each process and each time that a limit
is named anew. A full one would give its burst once more with each start of a
guard, and several starts within seconds add up to several times the limit.

Which of two answers was given later can't be told from when they arrive: they
come over connections of their own, and after a pause all at once. So a limit is
taken from whatever answer names it, and ends only with an answer to a request
that was handed over after the last one which named it had come.
"""

import math

# A server that takes fewer gets this many all the same: only its answers tell
# that it takes more again.
_LEAST_PER_S = 0.5
# What was not used lately may go out at once.
_BURST_S = 0.5
# Who was refused stays away for a time. It grows with each refusal and shrinks
# with each request that is let through: in balance one call in six is refused,
# without knowing how many routers there are.
_GROWS = 1.1
_SHRINKS = 0.98
# A limit that has ended is to be noticed by all within seconds. Where routers
# are many, each of them is refused about once in this time.
_LONGEST_AWAY_S = 5.0


class RateLimit:
    """The limit of one backend server.

    Attributes:
        per_s: Requests a second; None while it names none.
    """

    def __init__(self) -> None:
        self.per_s: float | None = None
        self._tokens = 0.0
        self._filled_s = 0.0
        self._named_s = -math.inf
        self._away_s = 0.0

    def reset(self) -> None:
        """Forgets the limit: another start has named none."""
        self.per_s = None
        self._named_s = -math.inf

    def observe(
        self, per_s: float | None, handed_s: float, now_s: float
    ) -> None:
        """Takes what an answer names.

        Args:
            per_s: The limit; None if it names none.
            handed_s: When its request was handed over.
            now_s: When it came.
        """
        may_be_older = handed_s < self._named_s
        if per_s is None:
            if not may_be_older:
                self.per_s = None
            return
        if may_be_older and self.per_s is not None:
            per_s = min(per_s, self.per_s)
        self._named_s = now_s
        self.set_limit(per_s, now_s)

    def set_limit(self, per_s: float, now_s: float) -> None:
        """Holds a limit from now on."""
        if self.per_s is None:
            self.per_s = per_s
            self._tokens = 0.0
            self._filled_s = now_s
            self._away_s = self._least_away_s()
            return
        self._fill(now_s)
        self.per_s = per_s
        self._tokens = min(self._tokens, self._depth())

    def take(self, now_s: float) -> bool:
        """Takes a token for a request, if there is one."""
        if self.per_s is None:
            return True
        self._fill(now_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        self._away_s = max(self._least_away_s(), self._away_s * _SHRINKS)
        return True

    def wait_s(self, count: int, now_s: float) -> float:
        """Returns when there will have been tokens for so many requests."""
        if self.per_s is None:
            return 0.0
        self._fill(now_s)
        return max(0.0, (count - self._tokens) / self.rate_per_s())

    def rate_per_s(self) -> float:
        """Returns what is let through while a limit is named."""
        assert self.per_s is not None, "a limit is named"
        return max(_LEAST_PER_S, self.per_s)

    def record_refusal(self) -> float:
        """Notes a refusal, and returns how long its sender should stay away."""
        self._away_s = min(_LONGEST_AWAY_S, self._away_s * _GROWS)
        return self._away_s

    def _fill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._filled_s)
        self._filled_s = now_s
        filled = self._tokens + elapsed_s * self.rate_per_s()
        self._tokens = min(self._depth(), filled)

    def _depth(self) -> float:
        return max(1.0, self.rate_per_s() * _BURST_S)

    def _least_away_s(self) -> float:
        return min(_LONGEST_AWAY_S, 1.0 / self.rate_per_s())
