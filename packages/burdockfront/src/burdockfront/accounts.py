"""Client accounts: looks up the account of an API key, and ranks requests.

Keys are secrets. They are replaced by digests where the operators' table is
read, and no other part of the product ever holds a key: memory dumps, messages
between nodes and log lines cannot reveal one. Keys are long and random, so an
unsalted digest is sufficient; it costs a microsecond per request.
"""

import dataclasses
import hashlib
from collections.abc import Iterable
from typing import Annotated

import pydantic

from burdockfront import errors

# 96 bits: guessing a key that matches one of 10,000 digests takes 2^82 tries.
_DIGEST_BYTES = 12
# 40 bits: the chance that two of 10,000 accounts share a tag is 1 in 20,000,
# and they would only count as one account in fair shares.
_TAG_BYTES = 5
RANKS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
        name: Name that is sent to backend servers.
        key_digests: Digests of its keys; see `digest_of`.
        rank: Importance of its requests. 0 is shed last; None counts as the
            least important rank that any account has.
        rate_per_s: Maximum rate of requests over all nodes; 0: no limit.
        burst: Burst on top of the rate.
    """

    name: Annotated[str, pydantic.Field(min_length=1)]
    key_digests: tuple[str, ...] = ()
    rank: Annotated[int, pydantic.Field(ge=0)] | None = None
    rate_per_s: Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)] = (
        0.0
    )
    burst: Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)] = 0.0


def digest_of(key: str) -> str:
    """Returns the digest of a key."""
    data = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()


def tag_of(name: str) -> str:
    """Returns the tag of an account on calls between nodes."""
    data = name.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=_TAG_BYTES).hexdigest()


def check(accounts: Iterable[Account]) -> None:
    """Checks that names and keys are unique.

    Raises:
        InvalidInputError: Two accounts have the same name or share a key. The
            message contains account names, but no key.
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
                    f"expected each key to belong to one client account, got "
                    f"a key of both {holder!r} and {account.name!r}; remove it "
                    f"from one of them."
                )


class AccountIndex:
    """Index of the accounts in effect at one node.

    Args:
        accounts: The configured accounts; see `check`.
        route_ranks: Ranks of the routes.
        previous: The accounts in effect until now; None at the start of a
            process, when the earlier usage is unknown.

    Attributes:
        accounts: The configured accounts.
        in_use: Whether callers need a key.
        limited: Names of the accounts with a quota.
        newly_limited: Names of those that had no quota in `previous`.
        tags: Tag by account name; see `tag_of`.
        names_by_tag: Account name by tag.
    """

    def __init__(
        self,
        accounts: tuple[Account, ...] = (),
        route_ranks: Iterable[int] = (),
        previous: "AccountIndex | None" = None,
    ):
        self.accounts = accounts
        self.in_use = bool(accounts)
        self.tags = {account.name: tag_of(account.name) for account in accounts}
        self.names_by_tag = {tag: name for name, tag in self.tags.items()}
        self._by_name = {account.name: account for account in accounts}
        self._by_digest = {
            digest: account
            for account in accounts
            for digest in account.key_digests
        }
        self.limited = frozenset(
            account.name for account in accounts if account.rate_per_s
        )
        known = self.limited if previous is None else previous.limited
        self.newly_limited = self.limited - known
        ranks = {account.rank for account in accounts}
        self._ranks = _Ranks(
            {rank for rank in ranks if rank is not None}, set(route_ranks)
        )

    def get(self, name: str) -> Account | None:
        """Returns the account with a name."""
        return self._by_name.get(name)

    def holder_of(self, key: str) -> Account | None:
        """Returns the account that a key belongs to."""
        data = key.encode("utf-8", "surrogateescape")
        digest = hashlib.blake2b(data, digest_size=_DIGEST_BYTES)
        return self._by_digest.get(digest.hexdigest())

    def rank_of(self, account: Account | None, route_rank: int) -> int:
        """Returns the rank of a request on a route.

        Args:
            account: Its account; None for a backend server's call that could
                not be attributed to a request.
            route_rank: Rank of the route.
        """
        if not self._ranks.uses_accounts:
            return route_rank
        rank = None if account is None else account.rank
        return self._ranks.of(rank, route_rank)


class _Ranks:
    """Combines ranks of accounts and routes into one order.

    Requests are ordered by the account's rank, and by the route's rank among
    accounts of the same rank. By the account's rank alone, listings and
    confirmations of most callers would be shed alike. Requests without an
    account get the least important account rank, because nothing indicates
    that they are more important.

    Attributes:
        uses_accounts: Whether the ranks of accounts have any effect.
    """

    def __init__(self, of_accounts: set[int], of_routes: set[int]):
        self._position_of = {
            rank: position for position, rank in _positions(of_routes)
        }
        width = max(1, len(self._position_of))
        levels = max(1, min(len(of_accounts), RANKS // width))
        count = max(1, len(of_accounts))
        self.uses_accounts = levels > 1
        self._floors: dict[int | None, int] = {
            rank: position * levels // count * width
            for position, rank in _positions(of_accounts)
        }
        self._default_floor = (levels - 1) * width

    def of(self, account_rank: int | None, route_rank: int) -> int:
        floor = self._floors.get(account_rank, self._default_floor)
        return min(RANKS - 1, floor + self._position_of.get(route_rank, 0))


def _positions(ranks: set[int]) -> Iterable[tuple[int, int]]:
    return enumerate(sorted(ranks))
