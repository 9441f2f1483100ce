"""Routes: the service of a request, and its timeouts, rank and retry rules.

Operators write one table for the whole system. A node applies it atomically,
under a version that only increases. It never serves from parts of two tables,
and within the lifetime of its process never returns to an older table that a
slow peer or a stale read offers.

Nodes send the table to each other as JSON in the shape of these classes.
"""

import dataclasses
import enum
import random
import sys
from typing import Annotated
from typing import Any

import pydantic

from burdockfront import accounts as accounts_lib
from burdockfront import errors

_MAX_RANK = accounts_lib.RANKS - 1
# Format version of the table. Releases without client accounts drop them from a
# table without an error, so their tables have to be recognised by the format.
_FORM = 2


class Repeat(enum.StrEnum):
    """How often a request may be executed per attempt of its caller."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service and its weight in the split of a route's requests."""

    service: str
    weight: Annotated[float, pydantic.Field(gt=0)]


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The settings of requests whose path begins with a prefix.

    Attributes:
        name: Name for operators.
        prefix: Beginning of the path; begins and ends with a slash.
        repeat: How often a request may be executed.
        shares: Services that serve it: a single one, or a weighted split.
        timeout_s: Time after which the caller gets a final answer in any case.
        target_latency_s: An answer within this time has its full value.
        rank: Importance; requests of rank 0 are shed last.
        max_attempts: Maximum number of backend servers that one request may be
            sent to.
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
    """Limits on what a caller sends, how long it takes, and its idle time."""

    header_bytes: int = 16_384
    body_bytes: int = 1_000_000
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


# Until a table is known, what operators allow is not known either. A request
# that they allow must not be refused for good, so it is read, and refused for
# the missing table.
_LIMITS_WITHOUT_TABLE = CallerLimits(
    header_bytes=65_536, body_bytes=sys.maxsize
)


@dataclasses.dataclass(frozen=True, slots=True)
class HealthPath:
    """Path of the health check of a service's backend servers."""

    service: str
    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """All routes under one version.

    Attributes:
        version: Increases with each change by an operator.
        hosts: Routes by host name.
        limits: Limits on what callers send.
        health_paths: Health check paths of backend servers.
        accounts: Client accounts; if there are none, no caller needs a key.
        form: Format version; increases when tables contain something that
            earlier releases drop.
    """

    version: int
    hosts: tuple[VirtualHost, ...]
    limits: CallerLimits = CallerLimits()
    health_paths: tuple[HealthPath, ...] = ()
    accounts: tuple[accounts_lib.Account, ...] = ()
    form: int = _FORM

    def to_json(self) -> dict[str, Any]:
        """Returns the form that is sent between nodes."""
        return _ADAPTER.dump_python(self, mode="json")


_ADAPTER = pydantic.TypeAdapter(RouteTable)


def table_from_json(data: Any) -> RouteTable:
    """Parses a table that a peer sent.

    Raises:
        InvalidInputError: The data does not have the shape of a table, or comes
            from a release that may have dropped client accounts.
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
    """Converts an operator's priority to a rank within the range of levels."""
    return max(0, min(_MAX_RANK, priority))


@dataclasses.dataclass(slots=True)
class RouteMatch:
    """The route of a request, and the service selected for it.

    Instances are never modified. The class is not frozen, because a frozen one
    takes three times as long to create.
    """

    route: Route
    service: str


class RouteResolver:
    """Looks up routes in the table that is active at one node.

    Args:
        rng: Source of randomness.

    Attributes:
        limits: Active limits on what callers send.
        accounts: Active client accounts, whose keys are accepted.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self.limits = _LIMITS_WITHOUT_TABLE
        self.accounts = accounts_lib.AccountIndex()
        self._table: RouteTable | None = None
        self._services: frozenset[str] = frozenset()
        self._by_prefix: dict[tuple[str, str], Route] = {}
        self._splits: dict[tuple[str, str], _Split] = {}

    @property
    def table(self) -> RouteTable | None:
        """The active table; None before the first one."""
        return self._table

    @property
    def version(self) -> int:
        """Version of the active table; -1 before the first one."""
        return self._table.version if self._table else -1

    def health_path(self, service: str) -> str:
        """Returns the health check path of a service; empty if it has none."""
        entries = self._table.health_paths if self._table else ()
        for entry in entries:
            if entry.service == service:
                return entry.path
        return ""

    def knows_service(self, service: str) -> bool:
        """Whether the active table names a service."""
        return service in self._services

    def accept(self, table: RouteTable) -> bool:
        """Activates a table if it is newer than the active one.

        Returns:
            Whether the table was newer.
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
        old_splits = self._splits
        self._splits = {}
        for key, route in self._by_prefix.items():
            if len(route.shares) > 1:
                old = old_splits.get(key)
                same = old is not None and old.shares == route.shares
                self._splits[key] = (
                    old if old and same else _Split(route.shares, self._rng)
                )
        return True

    def find(self, host: str, target: str) -> RouteMatch | None:
        """Returns the route with the longest matching prefix, and a service.

        On a route with a weighted split, this advances the split.

        Args:
            host: Host name, with or without a port.
            target: Request target; its query is ignored.
        """
        key = self._key_of(host, target)
        if key is None:
            return None
        route = self._by_prefix[key]
        split = self._splits.get(key)
        service = split.next() if split else route.shares[0].service
        return RouteMatch(route, service)

    def route_of(self, host: str, target: str) -> Route | None:
        """Returns the same route as `find`, without advancing its split."""
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


class _Split:
    """Smooth weighted round robin over the services of a route.

    Any sequence of requests is divided by weight. Independent random draws
    would be off by a tenth over a few hundred requests, which is what each node
    receives of a route. Each node begins at a random position; otherwise the
    first requests of all nodes would go to the same service.
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
