"""Calls and attempts, as the dispatcher and the guard exchange them."""

import dataclasses
import enum
import math
import time

from burdockfront import allowance
from burdockfront import context as context_lib
from burdockfront import outcomes
from burdockfront import policy
from burdockfront import self_reports
from burdockfront import tickets
from burdockfront_client import attempts

# More than any service has: no bound.
UNLIMITED_BACKENDS = 1_000_000


@dataclasses.dataclass(slots=True)
class Call:
    """One call to a service, from an entry or from an upper layer.

    Attributes:
        service: Wanted service.
        method: HTTP method.
        target: Path and query below the service.
        headers: End-to-end headers.
        body: The whole body.
        context: Context of this call, before any attempt.
        deadline_s: Monotonic time at which the answer is worthless.
        pool: Allowance that retries are taken from.
        ticket: The caller's ticket, for a call that must not repeat.
        repeatable: Whether repeating does no harm; None: judge by the method.
        host: Host that the caller named, where the backend server wants it.
        origin_service: Service beside which the request entered.
        account: Client account whose request it is; empty for calls.
        target_s: An answer that takes longer is late, though of use.
        parent_class: Class of the request that it is made for; empty if that
            is not known.
        max_backends: Backend servers that it may be handed to.
        trail: What became of each attempt so far, for logs.
        arrivals: Attempts that a backend server was handed, or may have been.
    """

    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
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

    @property
    def idempotent(self) -> bool:
        """Whether repeating the call does no harm."""
        if self.repeatable is not None:
            return self.repeatable
        return self.method in policy.IDEMPOTENT_METHODS


def nested_call(
    parent: attempts.OpenAttempt,
    service: str,
    method: str,
    target: str,
    headers: tuple[tuple[str, str], ...],
    body: bytes,
    longest_s: float,
) -> Call:
    """Returns a call that a backend server makes for an open attempt.

    It inherits identity and priority, may spend what is left of the
    attempt's allowance, and can't outlive the attempt.
    """
    now_s = time.monotonic()
    deadline_s = min(parent.deadline_s, now_s + longest_s)
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
    """One try of a call at one guard.

    Attributes:
        call: The call.
        context: Its context, for this try.
        ticket: Ticket of a call that must not repeat.
        received: What its sender last heard of the guard's backend server.
    """

    call: Call
    context: context_lib.RequestContext
    ticket: tickets.Ticket | None
    received: self_reports.SelfReport | None = None


class Delivery(enum.Enum):
    """What is known of an attempt.

    `UNREACHED` proves that nothing was handed over; `LOST` proves nothing.
    """

    ANSWERED = "answered"
    UNREACHED = "unreached"
    LOST = "lost"


@dataclasses.dataclass(slots=True)
class AttemptResult:
    """The fate of an attempt, with its answer if there is one."""

    delivery: Delivery
    answer: outcomes.Answer | None = None


@dataclasses.dataclass(slots=True)
class Counters:
    """What a dispatcher did, for metrics and checks.

    Attributes:
        far_calls: Calls answered in another data centre.
        far_bytes: Bytes of them, there and back.
    """

    calls: int = 0
    attempts: int = 0
    retries: int = 0
    reroutes: int = 0
    early_refusals: int = 0
    lost: int = 0
    far_calls: int = 0
    far_bytes: int = 0
