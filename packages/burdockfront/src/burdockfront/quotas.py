"""Quotas of client accounts, enforced over all nodes together.

Each node counts the requests that it admits and reports the counts every half
second to one node, the allocator, which all nodes select by the same rule. The
allocator holds one token bucket per account. While a bucket is well filled,
nodes admit requests locally, without a message per request. Accounts close to
their limit are listed in the replies to reports; from then on each of their
requests needs a token from the allocator. A request that is willing to wait is
promised a token of its own ahead of time, so that requests that wait at several
nodes do not compete for the same one.

Nodes need not agree on the allocator. An allocator hands out only the fraction
of a quota that matches the fraction of nodes reporting to it. While nodes are
partitioned, or select different allocators for a while, the fractions of all
allocators add up to at most the whole quota, except for one second after a node
switches to another allocator. A new allocator does not know the earlier usage,
so its buckets start with no more than the overshoot that operators tolerate.
docs/design/quotas.md compares the alternatives.
"""

import dataclasses
from typing import Protocol

# Nodes report twice a second.
_TWO_REPORTS_S = 1.0
# Tokens are promised no further ahead. A longer wait would hold requests of
# accounts that are far over their limit instead of telling them when to retry.
MAX_TOKEN_WAIT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """Quota of an account, as parameters of a token bucket.

    Attributes:
        rate_per_s: Requests a second.
        depth: Burst on top of the rate.
        initial: Tokens that each new allocator may hand out before it knows
            the recent usage.
    """

    rate_per_s: float
    depth: float
    initial: float = 0.0


class Limits(Protocol):
    """The limits in effect."""

    def limit_of(self, account: str) -> Limit | None:
        """Returns the limit of an account; None if it has none."""

    def is_new(self, account: str, now_s: float) -> bool:
        """Whether an account got its limit only a moment ago."""


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Requests that a node admitted locally since its last report.

    The count is negative if more tokens were returned than used.
    """

    account: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """Requests that wait at a node for tokens.

    Attributes:
        account: Account of the requests.
        rank: Their rank; 0 is the most important.
        count: Number of waiting requests.
        max_wait_s: How long they wait for a token; 0 if they need it now.
    """

    account: str
    rank: int
    count: int
    max_wait_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Report of a node to its allocator.

    Attributes:
        node_id: The reporting node.
        usage: Requests that it admitted.
        requests: Tokens that it asks for.
    """

    node_id: str
    usage: tuple[Usage, ...] = ()
    requests: tuple[TokenRequest, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TokenGrant:
    """The answer to a `TokenRequest`.

    Attributes:
        account: Account of the tokens.
        rank: Rank of the answered request.
        count: Number of waiting requests that are admitted.
        wait_s: Time until the first promised token is available; if none is
            promised, until one more is available.
        promised: Number of further requests that are admitted later, each with
            a token of its own.
        interval_s: Time between two promised tokens.
    """

    account: str
    rank: int
    count: int
    wait_s: float
    promised: int = 0
    interval_s: float = 0.0

    @property
    def next_wait_s(self) -> float:
        """Time until a token is available that is not promised yet."""
        return self.wait_s + self.promised * self.interval_s


@dataclasses.dataclass(frozen=True, slots=True)
class Allocation:
    """An allocator's reply to a report.

    Attributes:
        grants: Answers to the token requests.
        scarce: Accounts whose requests need tokens from now on.
    """

    grants: tuple[TokenGrant, ...] = ()
    scarce: frozenset[str] = frozenset()


def max_unreported(limit: Limit, nodes: int) -> int:
    """Returns how many requests a node may admit before its report is answered.

    All nodes together may admit half of the bucket's depth, or the refill of
    two report intervals, whichever is less, but each node at least one request.
    """
    total = min(limit.depth / 2, limit.rate_per_s * _TWO_REPORTS_S)
    return max(1, int(total / max(1, nodes)))
