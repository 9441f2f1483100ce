"""What client accounts may spend, over all nodes together.

Each node counts what it admits, and reports it every half second to one node
that all of them choose alike, the keeper. The keeper holds one token bucket an
account. While a bucket is well filled, nodes admit by themselves: a request
costs no question. An account that nears its limit is named in the answers to
reports, and from then on its requests are admitted one by one with tokens of
the keeper.

No agreement on the keeper is needed. A keeper deals only as much of a quota as
the share of nodes that report to it: where nodes are cut off from each other,
or choose different keepers for a while, the shares of all keepers together are
no more than the whole, but for a second in which a node turns to another one.
A new keeper does not know what was spent before, so its buckets begin with no
more than operators bear beyond a limit. The ways weighed stand in
docs/design/quotas.md.
"""

import dataclasses
from typing import Protocol

# Nodes report twice a second.
_TWO_REPORTS_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """What an account may spend.

    Attributes:
        rate_per_s: Requests a second.
        depth: Requests on top, once.
        initial: Requests that may be spent before it is known what was spent
            lately: by each new keeper.
    """

    rate_per_s: float
    depth: float
    initial: float = 0.0


class Limits(Protocol):
    """The limits in force."""

    def limit_of(self, account: str) -> Limit | None:
        """Returns the limit of an account; None without one."""

    def is_new(self, account: str, now_s: float) -> bool:
        """Whether an account had no limit until a moment ago."""


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Requests that a node admitted by itself since its last report.

    Fewer than none if tokens were given back.
    """

    account: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """Requests that wait at a node for tokens.

    Attributes:
        account: Whose they are.
        rank: How much they matter; 0 most.
        count: How many.
    """

    account: str
    rank: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a node tells its keeper.

    Attributes:
        node_id: The node.
        usage: What it admitted.
        requests: What it asks for.
    """

    node_id: str
    usage: tuple[Usage, ...] = ()
    requests: tuple[TokenRequest, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TokenGrant:
    """The answer to a `TokenRequest`.

    Attributes:
        account: Whose tokens.
        rank: As in the question.
        count: How many of the requests are admitted.
        wait_s: When there will be a token for one more.
    """

    account: str
    rank: int
    count: int
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Allocation:
    """A keeper's answer to a report.

    Attributes:
        grants: Answers to what was wanted.
        scarce: Accounts whose requests need tokens from now on.
    """

    grants: tuple[TokenGrant, ...] = ()
    scarce: frozenset[str] = frozenset()


def max_unreported(limit: Limit, nodes: int) -> int:
    """Returns how much a node may admit before its report is answered.

    All nodes together no more than half of what the bucket holds, nor than
    comes in within the time of two reports, where that allows each of them one.
    """
    blind = min(limit.depth / 2, limit.rate_per_s * _TWO_REPORTS_S)
    return max(1, int(blind / max(1, nodes)))
