"""What filters share: the request on its way, and the registry."""

import dataclasses
import enum
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol

from burdockfront import accounts
from burdockfront import context as context_lib
from burdockfront import outcomes
from burdockfront import policy as policy_lib
from burdockfront import registry
from burdockfront import routes
from burdockfront import tickets
from burdockfront import timeline
from burdockfront_client import attempts
from burdockfront_client import calls
from burdockfront_client import dispatcher
from burdockfront_node.internal import messages

FILTERS = registry.Registry("filter")


class QuotaState(enum.Enum):
    """How a request stands with its account's quota."""

    NOTHING = "nothing"
    PENDING = "to-ask"
    CONSUMED = "spent"


@dataclasses.dataclass(slots=True)
class Entry:
    """A request on its way through the chain.

    Attributes:
        request: As it arrived.
        service: Wanted service.
        target: Path and query below the service.
        policy: Policy in force of that service.
        parent: The attempt whose backend server makes this call, if any.
        context: Context of the call.
        deadline_s: Monotonic time at which the answer is worthless.
        ticket: The caller's ticket.
        fresh_ticket: A ticket that goes back with the answer.
        call: The call to dispatch, once it is known.
        caller_request_id: Id that the caller gave, where routes want one.
        caller_timeout_s: How long the caller said it will wait.
        routes_version: Version of the table that its route was found in.
        host: Host that the caller named, where routes are found by it.
        route_match: Its route.
        account: The client account that its key admits.
        quota_state: How it stands with the account's quota.
    """

    request: messages.Request
    service: str = ""
    target: str = ""
    policy: policy_lib.Policy | None = None
    parent: attempts.OpenAttempt | None = None
    context: context_lib.RequestContext | None = None
    deadline_s: float = 0.0
    ticket: tickets.Ticket | None = None
    fresh_ticket: str = ""
    call: calls.Call | None = None
    caller_request_id: str = ""
    caller_timeout_s: float | None = None
    routes_version: int = -1
    host: str = ""
    route_match: routes.RouteMatch | None = None
    account: accounts.Account | None = None
    quota_state: QuotaState = QuotaState.NOTHING

    @property
    def request_id(self) -> str:
        """The id of the whole request, once it is known."""
        return self.context.request_id if self.context else ""


class Quotas(Protocol):
    """What client accounts may spend, as an entry sees it."""

    @property
    def is_known(self) -> bool:
        """Whether quotas can be held yet."""

    def consume(
        self, account: accounts.Account, rank: int, now_s: float
    ) -> float | None:
        """Spends one request at once, if that can be decided here.

        Args:
            account: Whose it is.
            rank: How much it matters among the account's own; 0 most.
            now_s: Monotonic time at which it came.

        Returns:
            0 if it is admitted; when to come back if it is not; None if
            `ask` has to find out.
        """

    async def ask(self, account: accounts.Account, rank: int) -> float:
        """Spends one request, after a question to another node.

        Returns:
            0 if it is admitted, or when to come back.
        """

    def give_back(self, account: accounts.Account) -> None:
        """Takes back a request that was admitted, and ran nowhere."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedTools:
    """What filters of a node with routes use besides.

    Attributes:
        resolver: The table in force.
        reserved: Lower-case names of headers that only nodes may set.
        origin_service: Service beside this node.
        is_new_work: Tells of a class whether its requests are callers'.
        parent_of: Returns the request at the backend server that a call is
            made for, if its id tells.
        key_header: Lower-case name of the header with a caller's key.
        reserved_with_accounts: Lower-case names that only nodes may set
            besides, where callers need a key.
        quotas: What client accounts may spend.
    """

    resolver: routes.RouteResolver
    reserved: frozenset[str]
    origin_service: str
    is_new_work: Callable[[str], bool]
    parent_of: Callable[[str], context_lib.RequestContext | None]
    key_header: str
    reserved_with_accounts: frozenset[str]
    quotas: Quotas


@dataclasses.dataclass(frozen=True, slots=True)
class Tools:
    """What filters may use of the node.

    Attributes:
        dispatcher: Sends calls to guards.
        attempts: Open attempts at the backend server.
        policy_of: Returns the policy in force of a service.
        recorder: Where events go.
        refusal_of: Returns the refusal of a call that crashes servers.
        routed: What filters of a node with routes use besides.
    """

    dispatcher: dispatcher.Dispatcher
    attempts: attempts.AttemptBook
    policy_of: Callable[[str], policy_lib.Policy]
    recorder: timeline.Recorder
    refusal_of: Callable[[calls.Call], outcomes.Answer | None]
    routed: RoutedTools | None = None


Next = Callable[[Entry], Awaitable[outcomes.Answer]]


class Filter(Protocol):
    """One link of the chain."""

    async def __call__(self, entry: Entry, following: Next) -> outcomes.Answer:
        """Answers, or asks the following link."""
