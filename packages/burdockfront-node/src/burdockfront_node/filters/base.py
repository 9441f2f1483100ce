"""Shared types of the filters, and their registry."""

import dataclasses
import enum
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol

from burdockfront import accounts
from burdockfront import context as context_lib
from burdockfront import fair_shares
from burdockfront import outcomes
from burdockfront import policy as policy_lib
from burdockfront import registry
from burdockfront import routes
from burdockfront import tickets
from burdockfront import timeline
from burdockfront_client import attempts
from burdockfront_client import calls
from burdockfront_client import dispatcher
from burdockfront_node import entry_refusals
from burdockfront_node.internal import messages

FILTERS = registry.Registry("filter")


class QuotaState(enum.Enum):
    """Quota state of a request.

    Attributes:
        NOTHING: The request has used no quota.
        PENDING: Another node has to decide whether the request is admitted.
        CONSUMED: The request is admitted and has used quota.
    """

    NOTHING = "nothing"
    PENDING = "to-ask"
    CONSUMED = "spent"


@dataclasses.dataclass(slots=True)
class Entry:
    """A request and what the filters of the chain have set for it.

    Attributes:
        request: The request as received.
        service: Requested service.
        target: Path and query that the service receives.
        policy: Active policy of the service.
        parent: The attempt whose backend server makes this call, if any.
        context: Context of the call.
        deadline_s: Monotonic time after which the answer is useless.
        ticket: The caller's ticket.
        fresh_ticket: A new ticket, returned with the answer.
        call: The call to dispatch, once it is known.
        caller_request_id: Id that the caller sent; routed nodes only.
        caller_timeout_s: How long the caller waits; None if it sent no limit.
        routes_version: Version of the route table that `route_match` is from.
        host: Host header of the request; routed nodes only.
        route_match: Route of the request; routed nodes only.
        account: Client account of the request's API key.
        quota_state: Whether the request has used quota of the account.
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
    """Quotas of client accounts, as filters use them."""

    @property
    def is_known(self) -> bool:
        """Whether the node knows enough to enforce quotas."""

    def consume(
        self, account: accounts.Account, rank: int, now_s: float
    ) -> float | None:
        """Consumes the quota of one request, if this node can decide alone.

        Args:
            account: Client account of the request.
            rank: Rank among the requests of the account; 0 is the highest.
            now_s: Monotonic time at which the request arrived.

        Returns:
            0 if the request is admitted; seconds until a retry if it is
            refused; None if `ask` has to decide.
        """

    async def ask(
        self, account: accounts.Account, rank: int, max_wait_s: float
    ) -> float:
        """Consumes the quota of one request, granted by another node.

        Args:
            account: Client account of the request.
            rank: Rank among the requests of the account; 0 is the highest.
            max_wait_s: How long the request may wait for its quota.

        Returns:
            0 if the request is admitted; otherwise seconds until a retry.
        """

    def give_back(self, account: accounts.Account) -> None:
        """Returns the quota of a request that was admitted but did not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedTools:
    """Additional components for the filters of a routed node.

    Header names are in lower case.

    Attributes:
        resolver: The active route table.
        reserved: Headers that only nodes may set.
        origin_service: Service of the backend server beside this node.
        is_new_work: Returns whether requests of a class come from callers, and
            not from backend servers.
        parent_of: Returns the request in flight at the backend server that a
            call with this id is made for; None if that can't be determined.
        key_header: Header with the API key of a caller.
        reserved_with_accounts: Further reserved headers, where callers need an
            API key.
        quotas: Quotas of client accounts.
        refusals: Counts and samples of requests refused for overload.
        early_refusals: Whether new work above the level of its path is refused
            before a call is built.
        forecasts_levels: Whether retry-after times follow from the course of
            levels.
        shares: Accounts above their fair share; None if unused.
    """

    resolver: routes.RouteResolver
    reserved: frozenset[str]
    origin_service: str
    is_new_work: Callable[[str], bool]
    parent_of: Callable[[str], context_lib.RequestContext | None]
    key_header: str
    reserved_with_accounts: frozenset[str]
    quotas: Quotas
    refusals: entry_refusals.EntryRefusals
    early_refusals: bool = True
    forecasts_levels: bool = True
    shares: fair_shares.ShareTracker | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Tools:
    """Components of the node for its filters.

    Attributes:
        dispatcher: Sends calls to guards.
        attempts: Open attempts at the backend server.
        policy_of: Returns the active policy of a service.
        recorder: Receives events.
        refusal_of: Returns the refusal of a call that is quarantined because
            it crashed backend servers; None for any other call.
        routed: Additional components of a routed node.
    """

    dispatcher: dispatcher.Dispatcher
    attempts: attempts.AttemptTracker
    policy_of: Callable[[str], policy_lib.Policy]
    recorder: timeline.Recorder
    refusal_of: Callable[[calls.Call], outcomes.Answer | None]
    routed: RoutedTools | None = None


Next = Callable[[Entry], Awaitable[outcomes.Answer]]


class Filter(Protocol):
    """One filter of the chain.

    A filter that does nothing after the following ones returns their awaitable
    instead of awaiting it, because each resumed coroutine costs a call.
    """

    def __call__(
        self, entry: Entry, following: Next
    ) -> Awaitable[outcomes.Answer]:
        """Answers the request, or calls the following filter."""
