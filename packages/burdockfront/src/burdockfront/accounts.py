"""Client accounts: whose key a request bears, and how much the account matters.

Keys are secrets. Where operators' table is read, each is replaced by a digest,
and nothing else of the product ever holds one: a dump of a node's memory, a
message between nodes or a log line gives none away. Keys are drawn at random
and long, so a digest without salt is enough, and costs a request a microsecond.
"""

import dataclasses
import hashlib
from collections.abc import Iterable
from typing import Annotated

import pydantic

from burdockfront import errors

# Of 96 bits: to guess a key that fits one of 10,000 digests takes 2^82 tries.
_DIGEST_BYTES = 12
RANKS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
        name: What backend servers are told.
        key_digests: Digests of the keys that admit it; see `digest_of`.
        rank: How much its requests matter; 0 is shed last, None as the last
            of those that say so.
        rate_per_s: Requests that it may make, over all nodes; 0: no limit.
        burst: Requests that it may make on top, once.
    """

    name: Annotated[str, pydantic.Field(min_length=1)]
    key_digests: tuple[str, ...] = ()
    rank: Annotated[int, pydantic.Field(ge=0)] | None = None
    rate_per_s: Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)] = (
        0.0
    )
    burst: Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)] = 0.0


def digest_of(key: str) -> str:
    """Returns what stands for a key."""
    data = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()


def check(accounts: Iterable[Account]) -> None:
    """Refuses accounts that could not be told apart.

    Raises:
        InvalidInputError: Two have one name, or share a key. The message
            names accounts, and no key.
    """
    names: set[str] = set()
    holders: dict[str, str] = {}
    for account in accounts:
        if account.name in names:
            raise errors.InvalidInputError(
                f"expected one client account of each name, got two named "
                f"{account.name!r}; rename one of them."
            )
        names.add(account.name)
        for digest in account.key_digests:
            holder = holders.setdefault(digest, account.name)
            if holder != account.name:
                raise errors.InvalidInputError(
                    f"expected each key to admit one client account, got one "
                    f"of both {holder!r} and {account.name!r}; remove it from "
                    f"one of them."
                )


class AccountIndex:
    """The accounts in force at one node.

    Args:
        accounts: As operators wrote them; see `check`.
        route_ranks: Ranks that routes have.
        before: The accounts in force until now; None at the start of a
            process, when nothing is known of what was spent.

    Attributes:
        in_use: Whether callers need a key at all.
        limited: Names of the accounts that have a quota.
        newly_limited: Names of those that had none until now.
    """

    def __init__(
        self,
        accounts: tuple[Account, ...] = (),
        route_ranks: Iterable[int] = (),
        before: "AccountIndex | None" = None,
    ):
        self.accounts = accounts
        self.in_use = bool(accounts)
        self._by_name = {account.name: account for account in accounts}
        self._by_digest = {
            digest: account
            for account in accounts
            for digest in account.key_digests
        }
        self.limited = frozenset(
            account.name for account in accounts if account.rate_per_s
        )
        known = self.limited if before is None else before.limited
        self.newly_limited = self.limited - known
        ranks = {account.rank for account in accounts}
        self._ranks = _Ranks(
            {rank for rank in ranks if rank is not None}, set(route_ranks)
        )

    def get(self, name: str) -> Account | None:
        """Returns the account of a name."""
        return self._by_name.get(name)

    def holder_of(self, key: str) -> Account | None:
        """Returns whom a key admits."""
        data = key.encode("utf-8", "surrogateescape")
        digest = hashlib.blake2b(data, digest_size=_DIGEST_BYTES)
        return self._by_digest.get(digest.hexdigest())

    def rank_of(self, account: Account | None, route_rank: int) -> int:
        """Returns the rank of a request on a route.

        Args:
            account: Whose it is; None for a backend server's call that could
                not be tied to a request.
            route_rank: Rank of the route.
        """
        if not self._ranks.mixes:
            return route_rank
        rank = None if account is None else account.rank
        return self._ranks.of(rank, route_rank)


class _Ranks:
    """Puts ranks of accounts and of routes into one order.

    The account's decides, and the route's among accounts of the same rank.
    With the account's alone, listings and confirmations of most callers would
    be shed alike. Requests without an account count as of the least of them:
    nothing says that they matter more.
    """

    def __init__(self, of_accounts: set[int], of_routes: set[int]):
        self._places = {rank: place for place, rank in _places(of_routes)}
        width = max(1, len(self._places))
        levels = max(1, min(len(of_accounts), RANKS // width))
        count = max(1, len(of_accounts))
        self.mixes = levels > 1
        self._floors: dict[int | None, int] = {
            rank: place * levels // count * width
            for place, rank in _places(of_accounts)
        }
        self._least = (levels - 1) * width

    def of(self, account_rank: int | None, route_rank: int) -> int:
        floor = self._floors.get(account_rank, self._least)
        return min(RANKS - 1, floor + self._places.get(route_rank, 0))


def _places(ranks: set[int]) -> Iterable[tuple[int, int]]:
    return enumerate(sorted(ranks))
