"""What one node admits of client accounts' requests; see `quotas`."""

import collections
import dataclasses
import random

from burdockfront import quotas

# Without an answer of a keeper for so long, nothing is admitted unasked: the
# account may be spent elsewhere. Long enough to ask another keeper in place of
# one that was lost.
_TRUSTED_S = 1.5
# After a refusal an account's requests are refused without another question
# until there is a token, but not for longer than this: limits may be raised.
_LONGEST_REFUSAL_S = 0.5
# Callers return between once and so many times the time until then, or they
# would all come back in one moment.
_SPREAD = 2.0
_LEAST_RETRY_S = 0.1
_MOST_RETRY_S = 5.0


@dataclasses.dataclass(slots=True)
class _Refused:
    until_s: float
    wait_s: float


class QuotaPurse:
    """Counts and decides at one node.

    Args:
        limits: The limits in force.
        rng: Source of randomness.
    """

    def __init__(self, limits: quotas.Limits, rng: random.Random):
        self._limits = limits
        self._rng = rng
        self._spent: collections.Counter[str] = collections.Counter()
        self._reported: collections.Counter[str] = collections.Counter()
        self._refused: dict[tuple[str, int], _Refused] = {}
        self._answered_at_s = float("-inf")
        self.scarce: frozenset[str] = frozenset()
        self.nodes = 1

    @property
    def has_news(self) -> bool:
        """Whether there is anything to report."""
        return any(self._spent.values())

    def spend(self, account: str, rank: int, now_s: float) -> float | None:
        """Spends one request if that can be decided here.

        Args:
            account: Whose it is.
            rank: How much it matters; 0 most.
            now_s: Monotonic time.

        Returns:
            0 if it is admitted; when to come back if it is refused; None if
            the keeper has to be asked.
        """
        refused = self._refused.get((account, rank))
        if refused is not None:
            if now_s < refused.until_s:
                return self._retry_after_s(refused.wait_s)
            del self._refused[account, rank]
        if not self._is_ample(account, now_s):
            return None
        self._spent[account] += 1
        return 0.0

    def _has_much_unreported(self, account: str) -> bool:
        """Whether so much is unreported that the next must wait for it."""
        limit = self._limits.limit_of(account)
        if limit is None:
            return False
        most = quotas.may_spend_unreported(limit, self.nodes)
        return self._spent[account] + self._reported[account] >= most

    def give_back(self, account: str) -> None:
        """Takes back a request that was admitted, and ran nowhere."""
        self._spent[account] -= 1

    def report(self) -> tuple[quotas.Spent, ...]:
        """Returns what was admitted since the last report."""
        self._reported = +self._spent
        found = tuple(
            quotas.Spent(account, count)
            for account, count in self._spent.items()
            if count
        )
        self._spent.clear()
        return found

    def answered(self, dealt: quotas.Dealt, now_s: float) -> None:
        """Takes a keeper's answer to the last report."""
        self._reported.clear()
        self._answered_at_s = now_s
        self.scarce = dealt.scarce
        for granted in dealt.granted:
            if granted.wait_s > 0.0 and granted.count == 0:
                until_s = now_s + min(_LONGEST_REFUSAL_S, granted.wait_s)
                self._refused[granted.account, granted.rank] = _Refused(
                    until_s, granted.wait_s
                )

    def unanswered(self, spent: tuple[quotas.Spent, ...]) -> None:
        """Takes back a report that no keeper answered.

        It may have been counted: to count it twice refuses some requests, not
        to count it at all would admit some too many.
        """
        self._reported.clear()
        for entry in spent:
            self._spent[entry.account] += entry.count

    def refusal_s(self, granted: quotas.Granted) -> float:
        """Returns when a caller that got no token is to come back."""
        return self._retry_after_s(granted.wait_s)

    def _is_ample(self, account: str, now_s: float) -> bool:
        if account in self.scarce:
            return False
        if now_s - self._answered_at_s > _TRUSTED_S:
            return False
        return not self._has_much_unreported(account)

    def _retry_after_s(self, wait_s: float) -> float:
        spread_s = max(_LEAST_RETRY_S, wait_s) * self._rng.uniform(1.0, _SPREAD)
        return min(_MOST_RETRY_S, spread_s)
