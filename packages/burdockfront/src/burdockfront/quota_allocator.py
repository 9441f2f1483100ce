"""Deals what client accounts may spend; see `quotas`."""

import dataclasses

from burdockfront import quotas

# Nodes report twice a second. One that turns to another keeper counts at both
# for this long.
_REPORTS_FOR_S = 1.0
# Below so much its account needs tokens, above the second no longer: of a
# bucket, or what comes in so many seconds, whichever is less; but not less than
# what all nodes may admit unasked before they hear of it.
_SCARCE_BELOW = 0.5
_SCARCE_BELOW_S = 1.0
_AMPLE_ABOVE = 0.75
_AMPLE_ABOVE_S = 1.5
# How often those are counted who report.
_COUNT_EVERY_S = 0.1
# So much of a bucket at most is held back for what nodes admit unasked that
# have not heard yet that the account is scarce.
_HELD_BACK = 0.1
# What comes in so many seconds, and so many requests at least, is kept for each
# rank that matters more, up to so many ranks. Little is enough: requests that
# matter more and ask for all that comes in keep the level below it.
_RESERVE_S = 0.05
_LEAST_RESERVE = 0.5
_RANKS_APART = 2
# So long without any report, and others deal in this node's place.
_TERM_S = 3.0
_LEAST_SHARE = 1e-6


@dataclasses.dataclass(slots=True)
class _Bucket:
    level: float
    at_s: float
    scarce_since_s: float
    # The share of what may be dealt blindly that is in the level already.
    begun: float = 0.0


class QuotaAllocator:
    """The buckets at one node, for those who report to it.

    Args:
        limits: The limits in force.
    """

    def __init__(self, limits: quotas.Limits):
        self._limits = limits
        self._buckets: dict[str, _Bucket] = {}
        self._scarce: set[str] = set()
        self._heard_at_s: dict[str, float] = {}
        self._counted_at_s = float("-inf")
        self._share = 1.0
        self._began_s = 0.0
        self._reported_nodes = 1
        self._reported_at_s = float("-inf")

    @property
    def reporters(self) -> int:
        """Nodes that reported here lately."""
        return len(self._heard_at_s)

    @property
    def share(self) -> float:
        """The share of each quota that is dealt here."""
        return self._share

    def level_of(self, account: str) -> float:
        """Returns the tokens of an account when they were last looked at."""
        bucket = self._buckets.get(account)
        return bucket.level if bucket is not None else 0.0

    def on_report(
        self, report: quotas.Report, nodes: int, now_s: float
    ) -> quotas.Allocation:
        """Takes a report, and returns the answer.

        Args:
            report: What a node tells.
            nodes: Nodes that may admit requests anywhere, also those that
                can't be reached now.
            now_s: Monotonic time.
        """
        self._begin_term(now_s)
        self._reported_nodes = max(1, nodes)
        self._count(report.node_id, nodes, now_s)
        for spent in report.usage:
            bucket = self._bucket(spent.account, now_s)
            if bucket is not None:
                bucket.level -= spent.count
        # What matters most first, whatever the order of the questions.
        wanted = sorted(report.requests, key=lambda asked: asked.rank)
        granted = tuple(
            self._grant(asked, report.node_id, now_s) for asked in wanted
        )
        for account in list(self._scarce):
            self._bucket(account, now_s)
        return quotas.Allocation(granted, frozenset(self._scarce))

    def _begin_term(self, now_s: float) -> None:
        """Forgets buckets in whose place others have dealt meanwhile."""
        if now_s - self._reported_at_s > _TERM_S:
            self._buckets.clear()
            self._scarce.clear()
            self._heard_at_s.clear()
            self._began_s = now_s
        self._reported_at_s = now_s

    def _count(self, node_id: str, nodes: int, now_s: float) -> None:
        known = len(self._heard_at_s)
        self._heard_at_s[node_id] = now_s
        due = now_s - self._counted_at_s > _COUNT_EVERY_S
        if known == len(self._heard_at_s) and not due:
            return
        self._counted_at_s = now_s
        oldest_s = now_s - _REPORTS_FOR_S
        self._heard_at_s = {
            name: at_s
            for name, at_s in self._heard_at_s.items()
            if at_s >= oldest_s
        }
        heard = len(self._heard_at_s)
        share = min(1.0, heard / max(1, nodes))
        if share != self._share:
            # What came in until now came at the share of until now.
            self._fill_all(now_s)
            self._share = share
            self._fill_all(now_s)

    def _fill_all(self, now_s: float) -> None:
        for account in list(self._buckets):
            self._bucket(account, now_s)

    def _bucket(self, account: str, now_s: float) -> _Bucket | None:
        """Returns an account's bucket, filled up to now; None: no limit."""
        limit = self._limits.limit_of(account)
        if limit is None:
            self._buckets.pop(account, None)
            self._scarce.discard(account)
            return None
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = self._buckets[account] = _Bucket(0.0, self._began_s, now_s)
            self._scarce.add(account)
            if self._limits.is_new(account, now_s):
                # Nothing was spent of it before.
                bucket.level = limit.depth
        depth = limit.depth * self._share
        gained = limit.rate_per_s * self._share * (now_s - bucket.at_s)
        if self._share > bucket.begun:
            gained += limit.initial * (self._share - bucket.begun)
            bucket.begun = self._share
        bucket.level = min(depth, bucket.level + gained)
        bucket.at_s = now_s
        rate = limit.rate_per_s * self._share
        blind = self._reported_nodes * quotas.max_unreported(
            limit, self._reported_nodes
        )
        scarce_below = max(_SCARCE_BELOW_S * rate, blind)
        ample_above = max(_AMPLE_ABOVE_S * rate, blind + 1)
        if bucket.level < min(_SCARCE_BELOW * depth, scarce_below):
            if account not in self._scarce:
                bucket.scarce_since_s = now_s
            self._scarce.add(account)
        elif bucket.level > min(_AMPLE_ABOVE * depth, ample_above):
            self._scarce.discard(account)
        return bucket

    def _grant(
        self, asked: quotas.TokenRequest, node_id: str, now_s: float
    ) -> quotas.TokenGrant:
        bucket = self._bucket(asked.account, now_s)
        limit = self._limits.limit_of(asked.account)
        if bucket is None or limit is None:
            return quotas.TokenGrant(
                asked.account, asked.rank, asked.count, 0.0
            )
        reserve = _reserve_of(asked.rank, limit) * self._share
        held_back = self._held_back(asked.account, bucket, limit, node_id)
        free = max(0, int(bucket.level - reserve - held_back))
        count = min(asked.count, free)
        bucket.level -= count
        missing = 1.0 + reserve + held_back - bucket.level
        rate = max(_LEAST_SHARE, limit.rate_per_s * self._share)
        wait_s = max(0.0, missing / rate)
        return quotas.TokenGrant(asked.account, asked.rank, count, wait_s)

    def _held_back(
        self, account: str, bucket: _Bucket, limit: quotas.Limit, node_id: str
    ) -> float:
        """Returns what nodes may have admitted that is not reported yet.

        Args:
            account: Whose tokens are asked for.
            bucket: Its tokens.
            limit: Its limit.
            node_id: Who asks, and has just reported.
        """
        since_s = float("inf")
        if account in self._scarce:
            since_s = bucket.scarce_since_s
        if bucket.at_s - since_s > _REPORTS_FOR_S:
            return 0.0
        unaware = sum(
            at_s < since_s and name != node_id
            for name, at_s in self._heard_at_s.items()
        )
        each = quotas.max_unreported(limit, self._reported_nodes)
        return min(unaware * each, limit.depth * _HELD_BACK)


def _reserve_of(rank: int, limit: quotas.Limit) -> float:
    each = max(_LEAST_RESERVE, limit.rate_per_s * _RESERVE_S)
    return min(rank, _RANKS_APART) * min(each, limit.depth / _RANKS_APART / 2)
