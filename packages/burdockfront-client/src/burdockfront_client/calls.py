"""Calls and attempts that the dispatcher and the guards exchange."""

import dataclasses
import enum
import math
import time
from typing import Protocol

from burdockfront import allowance
from burdockfront import context as context_lib
from burdockfront import outcomes
from burdockfront import policy
from burdockfront import self_reports
from burdockfront import tickets
from burdockfront_client import attempts
from burdockfront_client import http_messages

# Larger than the number of backend servers of any service, so no limit.
UNLIMITED_BACKENDS = 1_000_000


class BodyHold(Protocol):
    """Keeps the room of a large body until its last user has released it."""

    def retain(self) -> None:
        """Adds a user of the body."""

    def release(self) -> None:
        """Removes a user of the body."""


@dataclasses.dataclass(slots=True)
class Call:
    """One call to a service, from an entry or nested in another request.

    Attributes:
        service: Name of the called service.
        method: HTTP method.
        target: Path and query below the service.
        headers: End-to-end headers.
        body: The complete body.
        context: Context of this call, before any attempt.
        deadline_s: Monotonic time after which the answer is of no use.
        pool: Allowance that retries are taken from.
        ticket: The caller's ticket, for a call that must run at most once.
        repeatable: Whether the call can safely be repeated; None derives this
            from the method.
        host: Host header of the caller, for backend servers that need it.
        origin_service: Service of the node at which the request entered.
        account: Client account of the request; empty for calls of backend
            servers.
        target_s: Target latency in seconds; an answer that takes longer is
            late, but still useful.
        parent_class: Class of the request that the call is made for; empty if
            unknown.
        max_backends: Maximum number of backend servers that the call may be
            handed to.
        trail: Result of each attempt so far, for logs.
        arrivals: Number of attempts that reached, or may have reached, a
            backend server.
        hold: Keeps the room of a large body; None for others.
    """

    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: http_messages.Body
    context: context_lib.RequestContext
    deadline_s: float
    pool: allowance.AllowancePool
    ticket: tickets.Ticket | None = None
    repeatable: bool | None = None
    host: str = ""
    origin_service: str = ""
    account: str = ""
    target_s: float = math.inf
    parent_class: str = ""
    max_backends: int = UNLIMITED_BACKENDS
    trail: list[str] = dataclasses.field(default_factory=list)
    arrivals: int = 0
    hold: BodyHold | None = None

    @property
    def idempotent(self) -> bool:
        """Whether the call can safely be repeated."""
        if self.repeatable is not None:
            return self.repeatable
        return self.method in policy.IDEMPOTENT_METHODS


def nested_call(
    parent: attempts.OpenAttempt,
    service: str,
    method: str,
    target: str,
    headers: tuple[tuple[str, str], ...],
    body: http_messages.Body,
    max_duration_s: float,
) -> Call:
    """Returns a call that a backend server makes for an open attempt.

    The call inherits the identity and priority of the attempt, shares its
    remaining allowance, and ends no later than the attempt's deadline.
    """
    now_s = time.monotonic()
    deadline_s = min(parent.deadline_s, now_s + max_duration_s)
    context = parent.context.for_nested_call(
        attempt_id=parent.context.attempt_id,
        remaining_s=deadline_s - now_s,
        allowance=0,
    )
    return Call(
        service, method, target, headers, body, context, deadline_s, parent.pool
    )


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a call at one guard.

    Attributes:
        call: The call.
        context: Context of the call for this attempt.
        ticket: Ticket of a call that must run at most once.
        received: The self report of the guard's backend server that the sender
            received last.
        arrived_s: Monotonic time at which it arrived at the guard.
    """

    call: Call
    context: context_lib.RequestContext
    ticket: tickets.Ticket | None
    received: self_reports.SelfReport | None = None
    arrived_s: float = 0.0


class Delivery(enum.Enum):
    """Whether an attempt reached its guard, as far as the sender can tell.

    `UNREACHED` proves that the request was not delivered. `LOST` proves
    nothing: the request may or may not have run.
    """

    ANSWERED = "answered"
    UNREACHED = "unreached"
    LOST = "lost"


@dataclasses.dataclass(slots=True)
class AttemptResult:
    """The delivery status of an attempt, with its answer if there is one."""

    delivery: Delivery
    answer: outcomes.Answer | None = None


@dataclasses.dataclass(slots=True)
class Counters:
    """Totals of a dispatcher, for metrics and checks.

    Attributes:
        far_calls: Calls answered in another data centre.
        far_bytes: Bytes of these calls and their answers.
    """

    calls: int = 0
    attempts: int = 0
    retries: int = 0
    reroutes: int = 0
    early_refusals: int = 0
    lost: int = 0
    far_calls: int = 0
    far_bytes: int = 0
