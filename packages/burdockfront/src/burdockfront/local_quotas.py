"""What one node admits of client accounts' requests; see `quotas`."""

import dataclasses
import random

from burdockfront import quotas

# Without an answer of a keeper for so long, nothing is admitted unasked: the
# account may be spent elsewhere. Long enough to ask another keeper in place of
# one that was lost.
ALLOCATION_TTL_S = 1.5
# After a refusal an account's requests are refused without another question
# until there is a token, but not for longer than this: limits may be raised.
_LONGEST_REFUSAL_S = 0.5
# For a token that comes so soon a request waits in place of being refused.
MAX_TOKEN_WAIT_S = 0.1
# Callers return between once and so many times the time until then, or they
# would all come back in one moment.
_SPREAD = 2.0
_LEAST_RETRY_S = 0.1
_MOST_RETRY_S = 5.0


@dataclasses.dataclass(slots=True)
class _Refused:
    until_s: float
    wait_s: float


class LocalQuotas:
    """Counts and decides at one node.

    Args:
        limits: The limits in force.
        rng: Source of randomness.
    """

    def __init__(self, limits: quotas.Limits, rng: random.Random):
        self._limits = limits
        self._rng = rng
        self._spent: dict[str, int] = {}
        # What may be spent before the next answer; accounts that nothing was
        # spent of since the last one are missing.
        self._left: dict[str, int] = {}
        self._refused: dict[tuple[str, int], _Refused] = {}
        self._trusted_until_s = float("-inf")
        self.scarce: frozenset[str] = frozenset()
        self.nodes = 1

    def admit(self, account: str, rank: int, now_s: float) -> float | None:
        """Spends one request if that can be decided here.

        Args:
            account: Whose it is.
            rank: How much it matters; 0 most.
            now_s: Monotonic time.

        Returns:
            0 if it is admitted; when to come back if it is refused; None if
            the keeper has to be asked.
        """
        if self._refused:
            refused_s = self._refused_s(account, rank, now_s)
            if refused_s:
                return refused_s
        if account in self.scarce or now_s > self._trusted_until_s:
            return None
        left = self._left.get(account)
        if left is None:
            left = self._may_spend(account)
        if left <= 0:
            return None
        self._left[account] = left - 1
        self._spent[account] = self._spent.get(account, 0) + 1
        return 0.0

    def give_back(self, account: str) -> None:
        """Takes back a request that was admitted, and ran nowhere."""
        self._spent[account] = self._spent.get(account, 0) - 1

    def report(self) -> tuple[quotas.Usage, ...]:
        """Returns what was admitted since the last report."""
        found = tuple(
            quotas.Usage(account, count)
            for account, count in self._spent.items()
            if count
        )
        self._spent.clear()
        return found

    def on_allocation(self, dealt: quotas.Allocation, now_s: float) -> None:
        """Takes a keeper's answer to the last report."""
        # What was spent while the report was under way is still unreported.
        self._left = {
            account: self._may_spend(account) - count
            for account, count in self._spent.items()
        }
        self._trusted_until_s = now_s + ALLOCATION_TTL_S
        self.scarce = dealt.scarce
        for granted in dealt.grants:
            if granted.wait_s > MAX_TOKEN_WAIT_S and granted.count == 0:
                until_s = now_s + min(_LONGEST_REFUSAL_S, granted.wait_s)
                self._refused[granted.account, granted.rank] = _Refused(
                    until_s, granted.wait_s
                )

    def on_report_failure(self, spent: tuple[quotas.Usage, ...]) -> None:
        """Takes back a report that no keeper answered.

        It may have been counted: to count it twice refuses some requests, not
        to count it at all would admit some too many.
        """
        for entry in spent:
            known = self._spent.get(entry.account, 0)
            self._spent[entry.account] = known + entry.count

    def retry_after_s(self, wait_s: float) -> float:
        """Returns when a caller is to come back.

        Args:
            wait_s: When there will be a token.
        """
        spread_s = max(_LEAST_RETRY_S, wait_s) * self._rng.uniform(1.0, _SPREAD)
        return min(_MOST_RETRY_S, spread_s)

    def _may_spend(self, account: str) -> int:
        limit = self._limits.limit_of(account)
        if limit is None:
            return 0
        return quotas.max_unreported(limit, self.nodes)

    def _refused_s(self, account: str, rank: int, now_s: float) -> float:
        """Returns when to come back, if there is no token for certain."""
        refused = self._refused.get((account, rank))
        if refused is None:
            return 0.0
        if now_s < refused.until_s:
            return self.retry_after_s(refused.wait_s)
        del self._refused[account, rank]
        return 0.0
