"""Adapters between a routed node and the protocols of its environment.

A routed node selects requests by the operators' table of routes. Callers, the
backend server and the platform's store each use their own names for headers,
fields and keys. An adapter translates them to the types below; no other part of
the product knows those names. An adapter is a module that registers a class
with `@ADAPTERS.register(NAME)` under its own module name. The settings of a
node select the adapter by that name.
"""

import dataclasses
import enum
import importlib
from collections.abc import Callable
from typing import Any
from typing import Protocol

from burdockfront import incarnations
from burdockfront import outcomes
from burdockfront import registry
from burdockfront import routes
from burdockfront import self_reports
from burdockfront_client import http_messages
from burdockfront_node.controllers import store

ADAPTERS = registry.Registry("adapter")

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(slots=True)
class CallerTerms:
    """The terms that a caller sends with one attempt.

    Instances are never modified. The class is not frozen, because a frozen one
    takes three times as long to create.

    Attributes:
        request_id: Id of the attempt, echoed in the answer; empty if the caller
            sent none.
        remaining_s: How long the caller waits; None if it sent no limit.
    """

    request_id: str
    remaining_s: float | None


@dataclasses.dataclass(slots=True)
class BackendTerms:
    """The terms that a guard sends to the backend server with a request.

    Instances are never modified. The class is not frozen, because a frozen one
    takes three times as long to create.

    Attributes:
        remaining_s: Time after which the server should stop working on it.
        instance_id: The incarnation that the request is meant for.
        origin_service: Service of the node at which the request entered.
        account: Client account of the request; empty for nested calls.
    """

    remaining_s: float
    instance_id: str
    origin_service: str
    account: str = ""


class BackendOutcome(enum.Enum):
    """What the backend server did with a request, according to its answer."""

    RAN = "ran"
    REJECTED = "rejected"
    OTHER_INCARNATION = "other-incarnation"


@dataclasses.dataclass(frozen=True, slots=True)
class Health:
    """The answer of a healthy backend server to a health check.

    Attributes:
        instance_id: The incarnation that answered.
        slots: Number of requests that it processes concurrently.
        notice: The self report on the answer.
    """

    instance_id: str
    slots: int
    notice: self_reports.BackendNotice


@dataclasses.dataclass(slots=True)
class CallerAnswer:
    """An answer in the form that is sent to the caller.

    Instances are never modified. The class is not frozen, because a frozen one
    takes three times as long to create.
    """

    status: int
    headers: Headers
    body: bytes


class Dialect(Protocol):
    """Translates the headers of callers and of backend servers.

    All header names below are in lower case.

    Attributes:
        reserved: Headers that only nodes may set.
        key_header: Header with the API key of a caller.
        reserved_with_accounts: Further reserved headers, in deployments where
            callers need an API key.
        not_forwarded: Answer headers that are not forwarded between nodes:
            the caller's node sets them itself, or only the node beside the
            backend server uses them.
    """

    reserved: frozenset[str]
    key_header: str
    reserved_with_accounts: frozenset[str]
    not_forwarded: frozenset[str]

    def terms_of(self, headers: Headers) -> CallerTerms:
        """Parses the terms of a caller.

        Raises:
            InvalidInputError: The headers can't be parsed.
        """

    def to_caller(
        self, answer: outcomes.Answer, request_id: str
    ) -> CallerAnswer:
        """Returns the answer in the callers' dialect."""

    def to_backend(self, terms: BackendTerms) -> Headers:
        """Returns the headers that carry these terms to a backend server."""

    def request_id_of(self, answer: http_messages.RawAnswer) -> str | None:
        """Returns the id of the request that an answer names; None if none."""

    def is_own(self, answer: http_messages.RawAnswer, request_id: str) -> bool:
        """Whether an answer names the request with this id."""

    def is_complete(self, answer: http_messages.RawAnswer) -> bool:
        """Whether an answer carries all headers that the server must set."""

    def outcome_of(self, answer: http_messages.RawAnswer) -> BackendOutcome:
        """Returns what the backend server did with the request."""

    def notice_of(
        self, answer: http_messages.RawAnswer
    ) -> self_reports.BackendNotice:
        """Returns the self report that an answer carries."""

    def load_of(self, answer: http_messages.RawAnswer) -> tuple[str, ...]:
        """Returns all values of the load report on an answer; () if none.

        Each has the form `RUNNING,WAITING,SLOTS[,SLOWDOWN]`. Called for each
        answer, so a server that does not report its load must cost nothing
        else.
        """

    def health_of(self, answer: http_messages.RawAnswer) -> Health | None:
        """Parses the answer to a health check; None if not healthy."""


class HeartbeatReceiver(Protocol):
    """Receives the heartbeats of the backend server beside the node."""

    def on_heartbeat(self, heartbeat: incarnations.Heartbeat) -> None:
        """Handles a heartbeat."""

    def leave(self, instance_id: str) -> None:
        """Handles the announcement that an incarnation leaves."""


class Adapter(Protocol):
    """Translates between a node and its callers, backend server and store.

    Attributes:
        dialect: Translates headers of callers and of the backend server.
        store_wire: Protocol of the store.
        routes_prefix: Prefix of the store keys that hold the route table.
    """

    dialect: Dialect
    store_wire: store.Wire
    routes_prefix: str

    def read_routes(self, item: store.Item) -> routes.RouteTable | None:
        """Parses the operators' table; None if the item is not a table.

        Raises:
            InvalidInputError: The table is not valid.
        """

    def heartbeat_app(self, receiver: HeartbeatReceiver) -> Any:
        """Returns the ASGI application that receives heartbeats."""

    def ready_app(self, is_ready: Callable[[], bool]) -> Any:
        """Returns the ASGI application that serves the readiness check."""


def load(module_name: str) -> Adapter:
    """Imports a module and returns an instance of its adapter.

    Raises:
        UnknownVariantError: The module registers no adapter under its name.
        ModuleNotFoundError: The module does not exist.
    """
    importlib.import_module(module_name)
    adapter: Adapter = ADAPTERS.get(module_name)()
    return adapter
