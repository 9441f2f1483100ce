"""Allocates client account quotas to nodes; see `quotas`."""

import dataclasses

from burdockfront import quotas

# Nodes report twice a second. A node that switches to another allocator counts
# at both for this long.
_REPORT_TTL_S = 1.0
# An account is scarce, so its requests need tokens, below the first thresholds,
# and no longer above the second. Each threshold is a fraction of the bucket's
# depth or the refill of so many seconds, whichever is less. The refill
# thresholds are at least what all nodes may admit locally before they learn
# that the account is scarce.
_SCARCE_BELOW = 0.5
_SCARCE_BELOW_S = 1.0
_AMPLE_ABOVE = 0.75
_AMPLE_ABOVE_S = 1.5
# After this long, all running nodes have reported once more.
_NEXT_REPORTS_S = 0.6
# Interval between counts of the reporting nodes.
_COUNT_INTERVAL_S = 0.1
# Maximum fraction of a bucket's depth that is held back for requests that nodes
# admit locally because they have not learned yet that the account is scarce.
_MAX_HELD_BACK = 0.1
# Tokens kept for each more important rank: the refill of this many seconds, at
# least _MIN_RESERVE, for at most _MAX_RESERVE_RANKS ranks. A small reserve is
# enough: more important requests that ask for the whole refill keep the level
# below it.
_RESERVE_S = 0.05
_MIN_RESERVE = 0.5
_MAX_RESERVE_RANKS = 2
# For this long after a refusal, less important requests of the account are not
# promised tokens. Shorter times let a refusal pass each time that they end.
_PREFER_S = 5.0
# A request that asks a second time, after the loss of its allocator, may wait
# for little more. Its refusal says nothing about others of its kind.
_MIN_USUAL_WAIT_S = 0.05
# After this long without any report, other nodes allocate in this node's place.
_TERM_S = 3.0
_MIN_RATE_PER_S = 1e-6
# A token may be missing this fraction of itself. A level is a sum of many small
# refills, and would otherwise stop just short of a whole token.
_ROUNDING = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    """Recent refusals of one rank for want of tokens.

    Attributes:
        at_s: Monotonic time of the latest one.
        max_wait_s: Shortest wait of the requests that were refused lately.
        shortest_at_s: Monotonic time of the refusal of that request.
    """

    at_s: float
    max_wait_s: float
    shortest_at_s: float


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Token bucket of an account.

    Attributes:
        level: Tokens at `at_s`; below 0 by the tokens that are promised ahead
            of time.
        at_s: Monotonic time up to which the bucket is filled.
        scarce_since_s: Monotonic time since which the account is scarce.
        rate_per_s: Rate at which it was filled last.
        initial_share: Fraction of `Limit.initial` already added to the level.
        refusals: Recent refusals, by rank.
    """

    level: float
    at_s: float
    scarce_since_s: float
    rate_per_s: float
    initial_share: float = 0.0
    refusals: dict[int, _Refusal] = dataclasses.field(default_factory=dict)


class QuotaAllocator:
    """Token buckets at one node, for the nodes that report to it.

    Args:
        limits: The limits in effect.
    """

    def __init__(self, limits: quotas.Limits):
        self._limits = limits
        self._buckets: dict[str, _Bucket] = {}
        self._scarce: set[str] = set()
        self._last_report_s: dict[str, float] = {}
        self._counted_at_s = float("-inf")
        self._share = 1.0
        self._term_start_s = 0.0
        self._nodes = 1
        self._reported_at_s = float("-inf")

    @property
    def reporters(self) -> int:
        """Number of nodes that reported to this node recently."""
        return len(self._last_report_s)

    @property
    def share(self) -> float:
        """Fraction of each quota that is allocated here."""
        return self._share

    def level_of(self, account: str) -> float:
        """Returns the tokens of an account when its bucket was last filled."""
        bucket = self._buckets.get(account)
        return bucket.level if bucket is not None else 0.0

    def on_report(
        self, report: quotas.Report, nodes: int, now_s: float
    ) -> quotas.Allocation:
        """Handles a report and returns the reply.

        Args:
            report: The report of a node.
            nodes: Number of nodes that may admit requests anywhere, including
                those that are unreachable now.
            now_s: Monotonic time.
        """
        self._renew_term(now_s)
        self._nodes = max(1, nodes)
        self._count_reporters(report.node_id, nodes, now_s)
        for usage in report.usage:
            bucket = self._bucket(usage.account, now_s)
            if bucket is not None:
                bucket.level -= usage.count
        # The most important first, whatever their order in the report.
        requests = sorted(report.requests, key=lambda request: request.rank)
        grants = tuple(
            self._grant(request, report.node_id, now_s) for request in requests
        )
        for account in list(self._scarce):
            self._bucket(account, now_s)
        return quotas.Allocation(grants, frozenset(self._scarce))

    def _renew_term(self, now_s: float) -> None:
        """Drops all buckets if other nodes have allocated in the meantime."""
        if now_s - self._reported_at_s > _TERM_S:
            self._buckets.clear()
            self._scarce.clear()
            self._last_report_s.clear()
            self._term_start_s = now_s
        self._reported_at_s = now_s

    def _count_reporters(self, node_id: str, nodes: int, now_s: float) -> None:
        """Counts the reporting nodes and updates the share."""
        known = len(self._last_report_s)
        self._last_report_s[node_id] = now_s
        due = now_s - self._counted_at_s > _COUNT_INTERVAL_S
        if known == len(self._last_report_s) and not due:
            return
        self._counted_at_s = now_s
        oldest_s = now_s - _REPORT_TTL_S
        self._last_report_s = {
            name: at_s
            for name, at_s in self._last_report_s.items()
            if at_s >= oldest_s
        }
        count = len(self._last_report_s)
        share = min(1.0, count / max(1, nodes))
        if share != self._share:
            # The refill up to now is at the old share.
            self._fill_all(now_s)
            self._share = share
            self._fill_all(now_s)

    def _fill_all(self, now_s: float) -> None:
        for account in list(self._buckets):
            self._bucket(account, now_s)

    def _bucket(self, account: str, now_s: float) -> _Bucket | None:
        """Returns an account's bucket, filled up to now; None without limit."""
        limit = self._limits.limit_of(account)
        if limit is None:
            self._buckets.pop(account, None)
            self._scarce.discard(account)
            return None
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = self._buckets[account] = _Bucket(
                0.0, self._term_start_s, now_s, limit.rate_per_s * self._share
            )
            self._scarce.add(account)
            if self._limits.is_new(account, now_s):
                # No tokens of a new limit can have been used elsewhere.
                bucket.level = limit.depth
        depth = limit.depth * self._share
        gained = limit.rate_per_s * self._share * (now_s - bucket.at_s)
        if self._share > bucket.initial_share:
            gained += limit.initial * (self._share - bucket.initial_share)
            bucket.initial_share = self._share
        bucket.level = min(depth, bucket.level + gained)
        bucket.at_s = now_s
        rate = limit.rate_per_s * self._share
        if bucket.level < 0.0 and rate < bucket.rate_per_s:
            # The promised tokens are due at the earlier rate. At the lower one
            # the account would be refused for many seconds to make up for them.
            bucket.level *= rate / bucket.rate_per_s
        bucket.rate_per_s = rate
        unreported = self._nodes * quotas.max_unreported(limit, self._nodes)
        scarce_below = max(_SCARCE_BELOW_S * rate, unreported)
        ample_above = max(_AMPLE_ABOVE_S * rate, unreported + 1)
        if bucket.level < min(_SCARCE_BELOW * depth, scarce_below):
            if account not in self._scarce:
                bucket.scarce_since_s = now_s
            self._scarce.add(account)
        elif bucket.level > min(_AMPLE_ABOVE * depth, ample_above):
            self._scarce.discard(account)
        return bucket

    def _grant(
        self, request: quotas.TokenRequest, node_id: str, now_s: float
    ) -> quotas.TokenGrant:
        bucket = self._bucket(request.account, now_s)
        limit = self._limits.limit_of(request.account)
        if bucket is None or limit is None:
            return quotas.TokenGrant(
                request.account, request.rank, request.count, 0.0
            )
        reserve = _reserve_of(request.rank, limit) * self._share
        held_back = self._held_back(request.account, bucket, limit, node_id)
        free = max(0, int(bucket.level - reserve - held_back + _ROUNDING))
        count = min(request.count, free)
        bucket.level -= count
        interval_s = 1.0 / max(_MIN_RATE_PER_S, limit.rate_per_s * self._share)
        missing = 1.0 + reserve - bucket.level
        wait_s = (missing + held_back) * interval_s
        if held_back and request.account in self._scarce:
            # The reports that decide about the tokens held back may arrive
            # sooner than as many new tokens.
            known_s = _known_at_s(bucket, now_s) - now_s
            wait_s = min(wait_s, max(missing * interval_s, known_s))
        wait_s = max(0.0, wait_s)
        promised = _promised(
            _max_promise_s(request, bucket, now_s),
            request.count - count,
            wait_s,
            interval_s,
        )
        bucket.level -= promised
        if count + promised < request.count:
            _record_refusal(request, bucket, now_s)
        return quotas.TokenGrant(
            request.account, request.rank, count, wait_s, promised, interval_s
        )

    def _held_back(
        self, account: str, bucket: _Bucket, limit: quotas.Limit, node_id: str
    ) -> float:
        """Returns tokens for requests that nodes may have admitted unreported.

        Args:
            account: Account of the requested tokens.
            bucket: Its bucket.
            limit: Its limit.
            node_id: The requesting node, which has just reported.
        """
        since_s = float("inf")
        if account in self._scarce:
            since_s = bucket.scarce_since_s
        if bucket.at_s - since_s > _REPORT_TTL_S:
            return 0.0
        unaware = sum(
            at_s < since_s and name != node_id
            for name, at_s in self._last_report_s.items()
        )
        per_node = quotas.max_unreported(limit, self._nodes)
        return min(unaware * per_node, limit.depth * _MAX_HELD_BACK)


def _known_at_s(bucket: _Bucket, now_s: float) -> float:
    """Returns when all usage from before the account became scarce is known."""
    known_at_s = bucket.scarce_since_s + _NEXT_REPORTS_S
    if now_s < known_at_s:
        return known_at_s
    return bucket.scarce_since_s + _REPORT_TTL_S


def _max_promise_s(
    request: quotas.TokenRequest, bucket: _Bucket, now_s: float
) -> float:
    """Returns how far ahead a request may be promised a token.

    A promise is not taken back. Requests that wait longer, as routes with a
    high target latency let them, are promised the whole refill before requests
    that wait less can have any of it. So after a refusal, less important
    requests are promised nothing, and those of the same rank no more than the
    refused one could wait for.
    """
    limit_s = min(request.max_wait_s, quotas.MAX_TOKEN_WAIT_S)
    for rank, refusal in bucket.refusals.items():
        if now_s - refusal.at_s >= _PREFER_S:
            continue
        if rank < request.rank:
            return 0.0
        if rank == request.rank:
            limit_s = min(limit_s, refusal.max_wait_s)
    return limit_s


def _record_refusal(
    request: quotas.TokenRequest, bucket: _Bucket, now_s: float
) -> None:
    if request.max_wait_s < _MIN_USUAL_WAIT_S:
        return
    wait_s, shortest_at_s = request.max_wait_s, now_s
    known = bucket.refusals.get(request.rank)
    if (
        known is not None
        and known.max_wait_s < wait_s
        and now_s - known.shortest_at_s < _PREFER_S
    ):
        wait_s, shortest_at_s = known.max_wait_s, known.shortest_at_s
    bucket.refusals[request.rank] = _Refusal(now_s, wait_s, shortest_at_s)


def _promised(
    max_wait_s: float, count: int, wait_s: float, interval_s: float
) -> int:
    """Returns how many tokens are promised ahead of time.

    Args:
        max_wait_s: How far ahead a token may be promised.
        count: Number of requested tokens that are not available now.
        wait_s: Time until the first of them is available.
        interval_s: Time between two of them.
    """
    if wait_s > max_wait_s or max_wait_s <= 0.0:
        return 0
    return min(count, 1 + int((max_wait_s - wait_s) / interval_s))


def _reserve_of(rank: int, limit: quotas.Limit) -> float:
    """Returns the tokens that are kept for ranks more important than `rank`."""
    per_rank = max(_MIN_RESERVE, limit.rate_per_s * _RESERVE_S)
    return min(rank, _MAX_RESERVE_RANKS) * min(
        per_rank, limit.depth / _MAX_RESERVE_RANKS / 2
    )
