"""Routes: which service a request goes to, and how it may be treated.

Operators write one table for the whole system. It is taken as a whole, under a
version that only grows, so a node never serves from parts of two tables, and
never goes back within one life of its process whatever it hears from a slow
peer or a stale read.

The table travels between nodes as JSON in the shape of these classes.
"""

import dataclasses
import enum
import random
from typing import Annotated
from typing import Any

import pydantic

from burdockfront import accounts as accounts_lib
from burdockfront import errors

_MOST_RANK = accounts_lib.RANKS - 1
# Tables of releases that knew no client accounts lack them silently.
_FORM = 2


class Repeat(enum.StrEnum):
    """How often a request may run for one attempt of its caller."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service that serves a part of a route's requests."""

    service: str
    weight: Annotated[float, pydantic.Field(gt=0)]


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """What holds for requests whose path begins with a prefix.

    Attributes:
        name: Name for operators.
        prefix: Beginning of the path; begins and ends with a slash.
        repeat: How often a request may run.
        shares: Services that serve it; one, or a weighted split.
        timeout_s: After this the caller gets a final answer in any case.
        target_latency_s: An answer within this time is worth its full value.
        rank: How much it matters; 0 is shed last.
        max_attempts: Backend servers that one request may be sent to.
        public: Callers need no key.
    """

    name: str
    prefix: str
    repeat: Repeat
    shares: Annotated[tuple[Share, ...], pydantic.Field(min_length=1)]
    timeout_s: float
    target_latency_s: float
    rank: int
    max_attempts: int
    public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class VirtualHost:
    """The routes of one host name."""

    host: str
    routes: tuple[Route, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 1_000_000
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class HealthPath:
    """Where backend servers of a service answer for their health."""

    service: str
    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """All routes under one version.

    Attributes:
        version: Grows with each change by an operator.
        hosts: Routes by host name.
        limits: What callers may send.
        health_paths: Where backend servers answer for their health.
        accounts: Client accounts; without any, nobody needs a key.
        form: Grows when tables say something that earlier releases drop.
    """

    version: int
    hosts: tuple[VirtualHost, ...]
    limits: CallerLimits = CallerLimits()
    health_paths: tuple[HealthPath, ...] = ()
    accounts: tuple[accounts_lib.Account, ...] = ()
    form: int = _FORM

    def to_json(self) -> dict[str, Any]:
        """Returns the form that travels between nodes."""
        return _ADAPTER.dump_python(self, mode="json")


_ADAPTER = pydantic.TypeAdapter(RouteTable)


def table_from_json(data: Any) -> RouteTable:
    """Reads a table that a peer sent.

    Raises:
        InvalidInputError: It does not have the shape of a table, or comes
            from a release that may have left client accounts out.
    """
    if isinstance(data, dict) and data.get("form", 1) != _FORM:
        raise errors.InvalidInputError(
            f"expected a table of routes of form {_FORM}, got form "
            f"{data.get('form', 1)!r}; all nodes must run compatible releases."
        )
    try:
        table = _ADAPTER.validate_python(data)
    except pydantic.ValidationError as error:
        raise errors.InvalidInputError(
            f"expected a table of routes, got one with {error.error_count()} "
            f"wrong fields, the first at {error.errors()[0]['loc']}; all "
            f"nodes must run compatible releases."
        ) from None
    accounts_lib.check(table.accounts)
    return table


def rank_of(priority: int) -> int:
    """Returns an operator's priority as a rank that levels can express."""
    return max(0, min(_MOST_RANK, priority))


@dataclasses.dataclass(frozen=True, slots=True)
class RouteMatch:
    """The route of a request, and the service that this one goes to."""

    route: Route
    service: str


class RouteResolver:
    """The table in force at one node.

    Args:
        rng: Source of randomness.

    Attributes:
        limits: What callers may send now.
        accounts: Whose keys are known now.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self.limits = CallerLimits()
        self.accounts = accounts_lib.AccountIndex()
        self._table: RouteTable | None = None
        self._services: frozenset[str] = frozenset()
        self._by_prefix: dict[tuple[str, str], Route] = {}
        self._splits: dict[tuple[str, str], _Split] = {}

    @property
    def table(self) -> RouteTable | None:
        """The table in force; None while none is known."""
        return self._table

    @property
    def version(self) -> int:
        """Version in force; -1 while none is known."""
        return self._table.version if self._table else -1

    def health_path(self, service: str) -> str:
        """Returns where a service answers for its health; empty: nowhere."""
        known = self._table.health_paths if self._table else ()
        for entry in known:
            if entry.service == service:
                return entry.path
        return ""

    def knows_service(self, service: str) -> bool:
        """Whether operators named a service."""
        return service in self._services

    def accept(self, table: RouteTable) -> bool:
        """Puts a table in force if it is newer than the one in force.

        Returns:
            Whether it was news.
        """
        if table.version <= self.version:
            return False
        before = self.accounts if self._table is not None else None
        self._table = table
        self.limits = table.limits
        self._services = frozenset(
            entry.service for entry in table.health_paths
        ) | frozenset(
            share.service
            for host in table.hosts
            for route in host.routes
            for share in route.shares
        )
        self._by_prefix = {
            (host.host, route.prefix): route
            for host in table.hosts
            for route in host.routes
        }
        self.accounts = accounts_lib.AccountIndex(
            table.accounts,
            {route.rank for route in self._by_prefix.values()},
            before,
        )
        kept = self._splits
        self._splits = {}
        for key, route in self._by_prefix.items():
            if len(route.shares) > 1:
                known = kept.get(key)
                same = known is not None and known.shares == route.shares
                self._splits[key] = (
                    known if known and same else _Split(route.shares, self._rng)
                )
        return True

    def find(self, host: str, target: str) -> RouteMatch | None:
        """Returns the route with the longest prefix of a target's path.

        A route that is split goes on to its next service.
        """
        key = self._key_of(host, target)
        if key is None:
            return None
        route = self._by_prefix[key]
        return RouteMatch(route, self._service_of(key, route))

    def route_of(self, host: str, target: str) -> Route | None:
        """Returns the same route, and leaves its split as it is."""
        key = self._key_of(host, target)
        return None if key is None else self._by_prefix[key]

    def _key_of(self, host: str, target: str) -> tuple[str, str] | None:
        host = host.partition(":")[0].lower()
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            key = (host, path[: end + 1])
            if key in self._by_prefix:
                return key
            end = path.rfind("/", 0, end)
        return None

    def routes_to(self, service: str) -> list[Route]:
        """Returns all routes that may send requests to a service."""
        return [
            route
            for route in self._by_prefix.values()
            if any(share.service == service for share in route.shares)
        ]

    def _service_of(self, key: tuple[str, str], route: Route) -> str:
        split = self._splits.get(key)
        return split.next() if split else route.shares[0].service


class _Split:
    """Divides requests by weight, evenly over any stretch of them.

    Smooth weighted round robin: independent draws would be off by a tenth over
    a few hundred requests, which is what each node sees of a route. All nodes
    begin at a place of their own, or their first requests would all go to the
    same service.
    """

    def __init__(self, shares: tuple[Share, ...], rng: random.Random):
        self.shares = shares
        self._total = sum(share.weight for share in shares)
        self._credit = [rng.random() * share.weight for share in shares]

    def next(self) -> str:
        for index, share in enumerate(self.shares):
            self._credit[index] += share.weight
        best = max(range(len(self.shares)), key=self._credit.__getitem__)
        self._credit[best] -= self._total
        return self.shares[best].service
