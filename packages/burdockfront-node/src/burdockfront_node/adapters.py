"""What surrounds a node whose routes come from operators' one table.

Callers, the backend server and the platform's store each speak a dialect with
names of their own. An adapter translates it into the types below; nothing else
in the product knows those names. An adapter is a module that registers a class
with `@ADAPTERS.register(NAME)` under its own module name, and is named in the
settings of a node.
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
from burdockfront_client import connection
from burdockfront_node.controllers import store

ADAPTERS = registry.Registry("adapter")

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerTerms:
    """What a caller says about one attempt.

    Attributes:
        request_id: Its id, echoed in the answer; empty if it gave none.
        remaining_s: How long it will wait; None if it did not say.
    """

    request_id: str
    remaining_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class BackendTerms:
    """What a backend server is told about a request.

    Attributes:
        remaining_s: When to stop working on it.
        instance_id: The incarnation that it is meant for.
        origin_service: Service beside which the request entered.
        account: Client account whose request it is; empty for calls.
    """

    remaining_s: float
    instance_id: str
    origin_service: str
    account: str = ""


class BackendOutcome(enum.Enum):
    """What an answer of a backend server means."""

    RAN = "ran"
    REJECTED = "rejected"
    OTHER_INCARNATION = "other-incarnation"


@dataclasses.dataclass(frozen=True, slots=True)
class Health:
    """What a healthy backend server says of itself when it is asked.

    Attributes:
        instance_id: The incarnation that answered.
        slots: Requests that it works on at once.
        notice: What else it says of itself.
    """

    instance_id: str
    slots: int
    notice: self_reports.BackendNotice


@dataclasses.dataclass(frozen=True, slots=True)
class CallerAnswer:
    """An answer as the caller gets it."""

    status: int
    headers: Headers
    body: bytes


class Dialect(Protocol):
    """How callers and backend servers speak.

    Attributes:
        reserved: Lower-case names of headers that only nodes may set.
        key_header: Lower-case name of the header with a caller's key.
        reserved_with_accounts: Lower-case names that are reserved besides
            where callers need a key.
        not_forwarded: Lower-case names of headers of answers that are not sent on
            from node to node: what the caller's node knows itself, and what
            is of use beside the backend server alone.
    """

    reserved: frozenset[str]
    key_header: str
    reserved_with_accounts: frozenset[str]
    not_forwarded: frozenset[str]

    def terms_of(self, headers: Headers) -> CallerTerms:
        """Reads what a caller says; InvalidInputError if it can't be read."""

    def to_caller(
        self, answer: outcomes.Answer, request_id: str
    ) -> CallerAnswer:
        """Returns the answer in the callers' dialect."""

    def to_backend(self, terms: BackendTerms) -> Headers:
        """Returns the headers that tell a backend server these terms."""

    def is_own(self, answer: connection.RawAnswer, request_id: str) -> bool:
        """Tells whether an answer is the one to a request."""

    def is_complete(self, answer: connection.RawAnswer) -> bool:
        """Tells whether an answer has all the marks of a real one."""

    def outcome_of(self, answer: connection.RawAnswer) -> BackendOutcome:
        """Returns what an answer means."""

    def notice_of(
        self, answer: connection.RawAnswer
    ) -> self_reports.BackendNotice:
        """Returns what a backend server says of itself on an answer."""

    def health_of(self, answer: connection.RawAnswer) -> Health | None:
        """Reads an answer to a question for health; None if not healthy."""


class HeartbeatReceiver(Protocol):
    """Takes what the backend server beside the node says of itself."""

    def on_heartbeat(self, beat: incarnations.Heartbeat) -> None:
        """Takes a heartbeat."""

    def leave(self, instance_id: str) -> None:
        """Takes the end of an incarnation."""


class Adapter(Protocol):
    """Everything that a node needs to know of its surroundings."""

    dialect: Dialect
    store_wire: store.Wire
    routes_prefix: str

    def read_routes(self, item: store.Item) -> routes.RouteTable | None:
        """Reads operators' table; None for an item that is something else.

        Raises:
            InvalidInputError: It can't be read.
        """

    def heartbeat_app(self, receiver: HeartbeatReceiver) -> Any:
        """Returns the ASGI application that backend servers report to."""

    def ready_app(self, is_ready: Callable[[], bool]) -> Any:
        """Returns the ASGI application that is asked whether a node is in."""


def load(module_name: str) -> Adapter:
    """Returns the adapter of a module.

    Raises:
        UnknownVariantError: The module registers no adapter of its name.
        ModuleNotFoundError: There is no such module.
    """
    importlib.import_module(module_name)
    adapter: Adapter = ADAPTERS.get(module_name)()
    return adapter
