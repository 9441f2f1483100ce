"""Retry allowance: a bound on the retries in a whole call tree.

A bound per hop multiplies: three tries in each of four layers are 81 calls at
the deepest layer. Instead, the entry mints a fixed number of units once. A call
carries a share of them, a retry uses one unit, and an answer returns the unused
units. Units of a lost answer are lost. No shared memory is needed for the
invariant

    units used in the call tree <= units minted

because a unit is at any moment in at most one place: in a pool, or in a
message. Parallel branches draw from the same pool, so they can't use a unit
twice.
"""

import math

from burdockfront import context


class AllowancePool:
    """Units of allowance that one attempt holds in one process."""

    def __init__(self, units: int):
        if units < 0:
            raise ValueError(f"expected units >= 0, got {units}")
        self._units = units
        self._lent: dict[str, int] = {}

    @property
    def units(self) -> int:
        """Number of units in the pool."""
        return self._units

    def lend(self, attempt_id: str) -> int:
        """Takes half of the pool, rounded up, for a call.

        A sequential call gets at least half of the units and returns the unused
        ones; a parallel sibling still finds the other half.
        """
        assert attempt_id not in self._lent, "an attempt borrows once"
        share = (self._units + 1) // 2
        self._units -= share
        self._lent[attempt_id] = share
        return share

    def return_unused(self, attempt_id: str, unused: int) -> None:
        """Adds the unused units that an answer returned.

        At most the lent number is added, so that a faulty or duplicated answer
        can't create units. A second answer to the same attempt adds nothing,
        because no units are recorded as lent any more.
        """
        lent = self._lent.pop(attempt_id, 0)
        returned = unused if unused < lent else lent
        if returned > 0:
            self._units += returned

    def write_off(self, attempt_id: str) -> None:
        """Writes off the units of a lost answer, which may have been used."""
        self._lent.pop(attempt_id, None)

    def use(self) -> bool:
        """Takes one unit for a retry; returns False if the pool is empty."""
        if self._units == 0:
            return False
        self._units -= 1
        return True


DEFAULT_BURST = 10.0
# Time constant with which earned tokens expire. The bounds on retries apply to
# windows of several seconds; tokens kept longer would be used in a quiet window
# that did not earn them.
_TOKEN_LIFETIME_S = 1.0
# Limit on the debt from repeats by upper layers, which this node can't refuse.
# Without it, one burst of them would block retries for minutes.
_MAX_DEBT = 20.0
# The initial level excludes no request. Cuts start from `_TOP`, the end of the
# priority numbers of the least important requests.
_OPEN_LEVEL = 8 * context.ORDINALS
_TOP = 3 * context.ORDINALS
_MIN_LEVEL = 8.0
# Each retry that finds no token lowers the level; each first try that finds the
# bucket full raises it. At a demand of a hundred retries per second the level
# falls from the top to a tenth in half a second, and recovers in one or two
# seconds.
_CUT = 0.96
_RAISE = 1.02


class RetryRatio:
    """Token bucket that limits a node's retries to a share of its first tries.

    The allowance bounds the retries of one request. In an incident every
    request would use its allowance and the load would still rise by that
    factor; the ratio limits the rise to e.g. 10%. First tries earn the tokens.

    A first try made on behalf of a repeated request is itself a repeat for the
    called service, so it costs a token instead of earning one. The ratio then
    holds for each service, regardless of the repeats of the layers above.

    If more retries are requested than there are tokens, the tokens go to the
    most important requests, at each of the calls of these requests. Spread
    evenly, retries of one in five calls save hardly any whole request: with a
    service that refuses half of its calls, four successive calls succeed for
    six in a hundred requests without retries and for ten with them. The same
    tokens save every request out of one in six.

    Args:
        ratio: Tokens earned by a first try.
        burst: Tokens that are available before any are earned. All nodes have
            them at the same time, so each node gets its part of the bound for
            the whole system, which may be less than one. In addition, the
            tokens earned in the last second may be accumulated, because the
            retries of one request come in a burst.
    """

    def __init__(self, ratio: float, burst: float = DEFAULT_BURST):
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst
        # Decaying count of the first tries in about the last second.
        self._recent = 0.0
        self._updated_s = 0.0
        # Requests with a priority number above the level get no retries.
        self._level = float(_OPEN_LEVEL)

    def set_burst(self, burst: float) -> None:
        """Sets a changed burst, e.g. when the number of known nodes grows.

        A node that starts knows no other nodes and would use a large part of
        the system's bound. If many nodes start at once, these parts would add
        up to a multiple of the bound.
        """
        if burst < self._burst:
            self._tokens = min(self._tokens, burst)
        self._burst = burst

    def first_try(
        self, now_s: float, repeated: bool = False, count: int = 1
    ) -> None:
        """Counts a first try, which earns a fraction of a token.

        Args:
            now_s: The current time.
            repeated: Whether it is made for a request that is itself a repeat.
            count: Number of first tries to count.
        """
        self._expire_tokens(now_s)
        self._recent += count
        earned = (self._ratio - 1.0 if repeated else self._ratio) * count
        capacity = self._capacity()
        self._tokens += earned
        if self._tokens < -_MAX_DEBT:
            self._tokens = -_MAX_DEBT
        elif self._tokens >= capacity:
            self._tokens = capacity
            if self._level < _OPEN_LEVEL:
                self._level = min(_OPEN_LEVEL, self._level * _RAISE + 1.0)

    def retry(self, now_s: float, priority: int = 0) -> bool:
        """Takes a token for a retry; returns False if there is none.

        Args:
            now_s: The current time.
            priority: Priority number of the request; 0 is the most important.
        """
        self._expire_tokens(now_s)
        if priority > self._level:
            return False
        if self._tokens < 1.0:
            self._level = max(_MIN_LEVEL, min(self._level, _TOP) * _CUT)
            return False
        self._tokens -= 1.0
        return True

    def _expire_tokens(self, now_s: float) -> None:
        """Expires tokens that were earned more than about a second ago."""
        elapsed_s = now_s - self._updated_s
        if elapsed_s <= 0.0:
            return
        self._updated_s = now_s
        self._recent *= math.exp(-elapsed_s / _TOKEN_LIFETIME_S)
        capacity = self._capacity()
        if self._tokens > capacity:
            self._tokens = capacity

    def _capacity(self) -> float:
        """Returns the bucket size; at least 1, which a retry costs."""
        burst = self._burst if self._burst > 1.0 else 1.0
        return burst + self._ratio * self._recent
