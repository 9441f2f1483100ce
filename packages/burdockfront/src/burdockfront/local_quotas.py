"""Admits requests of client accounts at one node; see `quotas`."""

import dataclasses
import random

from burdockfront import quotas

# An allocation older than this is stale, and nothing is admitted locally: the
# quota may be used elsewhere. Long enough to ask another allocator in place of
# one that was lost.
ALLOCATION_TTL_S = 1.5
# After a refusal, requests of the account are refused locally until a token can
# be promised to them: at least for _MIN_REFUSAL_S, which bounds the messages of
# an account over its limit, and at most for _MAX_REFUSAL_S, because limits may
# be raised.
_MIN_REFUSAL_S = 0.1
_MAX_REFUSAL_S = 0.5
# Callers retry after once to this many times the time until a token is
# available. Otherwise they would all retry at the same moment.
_MAX_SPREAD = 2.0
_MIN_RETRY_S = 0.1
_MAX_RETRY_S = 5.0


@dataclasses.dataclass(slots=True)
class _Refusal:
    """Refusal of an account's requests of one rank.

    Attributes:
        since_s: Monotonic time of the refusal.
        available_s: Monotonic time at which a token is available.
    """

    since_s: float
    available_s: float


class LocalQuotas:
    """Counts and admits requests at one node.

    Args:
        limits: The limits in effect.
        rng: Source of randomness.

    Attributes:
        scarce: Accounts whose requests need tokens.
        nodes: Number of nodes that may admit requests.
    """

    def __init__(self, limits: quotas.Limits, rng: random.Random):
        self._limits = limits
        self._rng = rng
        self._usage: dict[str, int] = {}
        # Requests that may be admitted before the next allocation. Accounts
        # without usage since the last allocation are missing.
        self._left: dict[str, int] = {}
        self._refusals: dict[tuple[str, int], _Refusal] = {}
        self._fresh_until_s = float("-inf")
        self.scarce: frozenset[str] = frozenset()
        self.nodes = 1

    def admit(self, account: str, rank: int, now_s: float) -> float | None:
        """Admits or refuses one request if that can be decided locally.

        Args:
            account: Account of the request.
            rank: Rank of the request; 0 is the most important.
            now_s: Monotonic time.

        Returns:
            0 if it is admitted; the time to retry after if it is refused; None
            if the allocator has to be asked.
        """
        if self._refusals:
            max_wait_s = quotas.MAX_TOKEN_WAIT_S
            retry_s = self.refused_s(account, rank, max_wait_s, now_s)
            if retry_s:
                return retry_s
        if account in self.scarce or now_s > self._fresh_until_s:
            return None
        left = self._left.get(account)
        if left is None:
            left = self._max_unreported(account)
        if left <= 0:
            return None
        self._left[account] = left - 1
        self._usage[account] = self._usage.get(account, 0) + 1
        return 0.0

    def give_back(self, account: str) -> None:
        """Returns the token of a request that was admitted but ran nowhere."""
        self._usage[account] = self._usage.get(account, 0) - 1

    def report(self) -> tuple[quotas.Usage, ...]:
        """Returns and resets the usage since the last report."""
        usage = tuple(
            quotas.Usage(account, count)
            for account, count in self._usage.items()
            if count
        )
        self._usage.clear()
        return usage

    def on_allocation(
        self, allocation: quotas.Allocation, now_s: float
    ) -> None:
        """Applies an allocator's reply to the last report."""
        # Usage while the report was in flight is still unreported.
        self._left = {
            account: self._max_unreported(account) - count
            for account, count in self._usage.items()
        }
        self._fresh_until_s = now_s + ALLOCATION_TTL_S
        self.scarce = allocation.scarce
        for grant in allocation.grants:
            key = (grant.account, grant.rank)
            if grant.count or grant.promised:
                self._refusals.pop(key, None)
            else:
                self._refusals[key] = _Refusal(now_s, now_s + grant.wait_s)

    def on_report_failure(self, usage: tuple[quotas.Usage, ...]) -> None:
        """Restores the usage of a report that no allocator answered.

        The report may have been counted. Counting it twice refuses some
        requests; not counting it at all would admit too many.
        """
        for entry in usage:
            known = self._usage.get(entry.account, 0)
            self._usage[entry.account] = known + entry.count

    def retry_after_s(self, wait_s: float) -> float:
        """Returns the time after which a refused caller should retry.

        Args:
            wait_s: Time until a token is available.
        """
        spread_s = max(_MIN_RETRY_S, wait_s) * self._rng.uniform(
            1.0, _MAX_SPREAD
        )
        return min(_MAX_RETRY_S, spread_s)

    def refused_s(
        self, account: str, rank: int, max_wait_s: float, now_s: float
    ) -> float:
        """Returns the time to retry after if a refusal still applies, else 0.

        Args:
            account: Account of the request.
            rank: Rank of the request.
            max_wait_s: How long the request waits for a token.
            now_s: Monotonic time.
        """
        refusal = self._refusals.get((account, rank))
        if refusal is None:
            return 0.0
        age_s = now_s - refusal.since_s
        if age_s >= _MAX_REFUSAL_S or now_s >= refusal.available_s:
            del self._refusals[account, rank]
            return 0.0
        wait_s = refusal.available_s - now_s
        if age_s < _MIN_REFUSAL_S or wait_s > max_wait_s:
            return self.retry_after_s(wait_s)
        return 0.0

    def _max_unreported(self, account: str) -> int:
        limit = self._limits.limit_of(account)
        if limit is None:
            return 0
        return quotas.max_unreported(limit, self.nodes)
