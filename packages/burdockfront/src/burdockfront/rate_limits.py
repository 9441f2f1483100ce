"""Token bucket for the request rate that a backend server reports.

All requests of the server pass through its guard, which applies the limit. The
bucket starts empty in each process and each time that a limit is newly set. A
full bucket would grant its burst again with each restart of a guard, and
several restarts within seconds would add up to several times the limit.

The order in which two answers were given can't be inferred from their arrival:
they use separate connections, and after a pause they arrive all at once. A
limit is therefore taken from any answer that carries one. It ends only with an
answer to a request that was handed over after the arrival of the last answer
that carried a limit.
"""

import math

# Lower bound of the applied rate. A server with a lower limit still gets this
# many requests, because only its answers report that the limit has risen.
_MIN_PER_S = 0.5
# The bucket holds the unused tokens of this time, which may be used at once.
_BURST_S = 0.5
# A refused router avoids the server for a backoff time, which grows with each
# refusal and shrinks with each admitted request. In equilibrium one call in six
# is refused, without the guard knowing the number of routers.
_BACKOFF_GROWTH = 1.1
_BACKOFF_DECAY = 0.98
# All routers have to learn within seconds that a limit has ended. With many
# routers, each of them is refused about once in this time.
_MAX_BACKOFF_S = 5.0


class RateLimit:
    """Token bucket for the rate limit of one backend server.

    Attributes:
        per_s: Reported requests per second; None while there is no limit.
    """

    def __init__(self) -> None:
        self.per_s: float | None = None
        self._tokens = 0.0
        self._filled_s = 0.0
        self._last_limit_s = -math.inf
        self._backoff_s = 0.0

    def reset(self) -> None:
        """Removes the limit, which does not apply to a new incarnation."""
        self.per_s = None
        self._last_limit_s = -math.inf

    def observe(
        self, per_s: float | None, handed_s: float, now_s: float
    ) -> None:
        """Applies the limit that an answer carries, or ends the limit.

        Args:
            per_s: The limit on the answer; None if it carries none.
            handed_s: Time at which its request was handed over.
            now_s: Time at which the answer arrived.
        """
        may_be_older = handed_s < self._last_limit_s
        if per_s is None:
            if not may_be_older:
                self.per_s = None
            return
        if may_be_older and self.per_s is not None:
            per_s = min(per_s, self.per_s)
        self._last_limit_s = now_s
        self.set_limit(per_s, now_s)

    def set_limit(self, per_s: float, now_s: float) -> None:
        """Applies a limit from now on."""
        if self.per_s is None:
            self.per_s = per_s
            self._tokens = 0.0
            self._filled_s = now_s
            self._backoff_s = self._min_backoff_s()
            return
        self._fill(now_s)
        self.per_s = per_s
        self._tokens = min(self._tokens, self._depth())

    def take(self, now_s: float) -> bool:
        """Takes a token for a request; returns False if there is none."""
        if self.per_s is None:
            return True
        self._fill(now_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        self._backoff_s = max(
            self._min_backoff_s(), self._backoff_s * _BACKOFF_DECAY
        )
        return True

    def wait_s(self, count: int, now_s: float) -> float:
        """Returns the time until there are tokens for `count` requests."""
        if self.per_s is None:
            return 0.0
        self._fill(now_s)
        return max(0.0, (count - self._tokens) / self.rate_per_s())

    def rate_per_s(self) -> float:
        """Returns the applied rate; a limit must be set."""
        assert self.per_s is not None, "no rate limit is set"
        return max(_MIN_PER_S, self.per_s)

    def record_refusal(self) -> float:
        """Records a refusal; returns the backoff time for the router."""
        self._backoff_s = min(_MAX_BACKOFF_S, self._backoff_s * _BACKOFF_GROWTH)
        return self._backoff_s

    def _fill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._filled_s)
        self._filled_s = now_s
        filled = self._tokens + elapsed_s * self.rate_per_s()
        self._tokens = min(self._depth(), filled)

    def _depth(self) -> float:
        return max(1.0, self.rate_per_s() * _BURST_S)

    def _min_backoff_s(self) -> float:
        return min(_MAX_BACKOFF_S, 1.0 / self.rate_per_s())
