"""The retry allowance: a bound on retries over a whole call tree.

A bound per hop multiplies: three tries in each of four layers are 81 calls at
the deepest one. Here the entry mints a number once. A call carries a share of
it, a retry spends one, an answer brings back what is unspent. What is lost
with an answer is gone. Nobody needs shared memory, and still

    spent everywhere <= minted                                  (invariant)

because a unit of allowance is at any moment in exactly one place: in one
pool, in one message, or nowhere. Parallel branches draw from the same pool,
so they can't spend a unit twice.
"""


class AllowancePool:
    """The allowance that one attempt holds in one process."""

    def __init__(self, units: int):
        if units < 0:
            raise ValueError(f"expected units >= 0, got {units}")
        self._units = units
        self._lent: dict[str, int] = {}

    @property
    def units(self) -> int:
        """Units that are here now."""
        return self._units

    def lend(self, attempt_id: str) -> int:
        """Takes a share for a call: half of the pool, rounded up.

        A sequential call gets most of what there is and brings it back; a
        parallel sibling still finds the other half.
        """
        assert attempt_id not in self._lent, "an attempt borrows once"
        share = (self._units + 1) // 2
        self._units -= share
        self._lent[attempt_id] = share
        return share

    def give_back(self, attempt_id: str, unspent: int) -> None:
        """Takes back what an answer returned.

        The amount is capped by what was lent: a faulty or duplicated answer
        must not create allowance. A second answer of the same attempt finds
        nothing lent and adds nothing.
        """
        lent = self._lent.pop(attempt_id, 0)
        self._units += max(0, min(unspent, lent))

    def forfeit(self, attempt_id: str) -> None:
        """Writes off a share whose answer was lost: it may be spent there."""
        self._lent.pop(attempt_id, None)

    def spend(self) -> bool:
        """Takes one unit for a retry, if there is one."""
        if self._units == 0:
            return False
        self._units -= 1
        return True


DEFAULT_BURST = 10.0


class RetryRatio:
    """Caps retries of a whole node to a share of its first tries.

    The allowance bounds one request. In a storm every request would spend
    its allowance, and load would still rise by that factor; the ratio keeps
    the rise to e.g. 10%. Tokens come from first tries, so it needs no clock.

    Args:
        ratio: Retries earned by a first try.
        burst: Retries that may be spent before any is earned. All nodes have
            this much at the same time, so where the whole system has a
            bound, each gets its part of it, which may be less than one.
    """

    def __init__(self, ratio: float, burst: float = DEFAULT_BURST):
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def set_burst(self, burst: float) -> None:
        """Takes a changed part, e.g. when more nodes are known than before.

        A node that starts knows nobody and would take a large part. With many
        nodes that start at once, the parts would add up to a multiple of what
        all may spend together.
        """
        if burst < self._burst:
            self._tokens = min(self._tokens, burst)
        self._burst = burst

    def first_try(self) -> None:
        """Counts a first try, which earns a share of a retry."""
        self._tokens = min(self._most(), self._tokens + self._ratio)

    def retry(self) -> bool:
        """Takes one retry, if the ratio has one left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _most(self) -> float:
        """Returns what may be saved up; one, or nobody could ever retry."""
        return max(1.0, self._burst)
