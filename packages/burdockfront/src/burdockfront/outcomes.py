"""Outcomes of requests.

An outcome is a promise to the caller, not the status of a hop:

* `DONE`: the answer is the complete answer of a backend server to this request,
  which may be an error of the backend server.
* `NOT_RUN`: the request was not handed to any backend server. Only a process
  that knows this for certain may report it.
* `UNKNOWN`: everything else. The request may have run, partly or completely.
"""

import dataclasses
import enum
from collections.abc import Sequence

from burdockfront import self_reports
from burdockfront import service_levels as service_levels_lib


class Outcome(enum.StrEnum):
    """The three outcomes, as in the `Burdockfront-Outcome` header."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a request has no answer of a backend server.

    `REJECTED` and `OTHER_INCARNATION` are reported by the backend server
    itself; the other refusals are made before it receives the request.
    """

    OVERLOAD = "overload"
    SHED = "shed"
    OVERLOAD_DEEPER = "overload-deeper"
    LIMITED = "limited"
    DEADLINE = "deadline"
    DRAINING = "draining"
    NO_BACKEND = "no-backend"
    NO_ROUTE = "no-route"
    NO_CONFIGURATION = "no-configuration"
    REJECTED = "rejected"
    OTHER_INCARNATION = "other-incarnation"
    UNREACHABLE = "unreachable"
    LOST_ANSWER = "lost-answer"
    QUARANTINED = "quarantined"
    UNKNOWN_KEY = "unknown-key"
    OVER_QUOTA = "over-quota"
    TICKET_NEEDED = "ticket-needed"
    TICKET_BAD = "ticket-bad"
    TICKET_OWNER_GONE = "ticket-owner-gone"
    STILL_RUNNING = "still-running"
    ANSWER_FORGOTTEN = "answer-forgotten"
    NO_SUCH_SERVICE = "no-such-service"
    CALLER_GONE = "caller-gone"
    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    HEADERS_TOO_LARGE = "headers-too-large"
    TOO_SLOW = "too-slow"
    NO_ROOM = "no-room"


@dataclasses.dataclass(slots=True)
class Answer:
    """A complete answer on its way to the caller.

    The backend server's part never changes. The fields from `level` on, which a
    guard adds for the calling side, are set in place by each node: copying the
    answer for each field took a twentieth of a call's time.

    Attributes:
        outcome: Outcome of the request.
        status: HTTP status code.
        headers: End-to-end headers as (name, value) pairs.
        body: The complete body.
        reason: Why there is no answer of a backend server.
        retry_after_s: Time to wait before a retry, for outcomes other than
            done.
        unspent: Unused retry allowance, returned to the calling side.
        level: Highest priority number that this path admits now.
        moved_to: Successor ticket, when the owner handed the ticket over.
        queue_s: Time that the request, and the calls made for it, waited for
            slots.
        load: Number of calls in slots or waiting for one, divided by the slots.
        draining: The guard that answered takes no new work.
        starved: The request failed because this service, or one below it, had
            no capacity.
        nested_call: The guard classified the request as a call that a backend
            server made.
        far_kb: Average kilobytes between data centres that requests of this
            class cause below the guard that answered.
        notice: The backend server's self report on this answer; None if the
            answer is not the backend server's.
        report: The guard's current view of its backend server's self report;
            None if it has nothing unusual.
        pace: How long work takes at the backend server now, relative to its
            usual time; 1.0 if unknown.
        over_share: Client accounts above their fair share of the service, by
            tag, with their demand relative to that share.
        bottleneck: Service that has the level of this answer; empty if unknown.
        service_levels: Levels of the services that are short.
        over_share_age_s: Time since a guard computed `over_share`, if another
            guard passes it on.
    """

    outcome: Outcome
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    reason: Reason | None = None
    retry_after_s: float | None = None
    unspent: int = 0
    level: int | None = None
    moved_to: str | None = None
    queue_s: float = 0.0
    load: float | None = None
    draining: bool = False
    starved: bool = False
    nested_call: bool = False
    far_kb: float = 0.0
    notice: self_reports.BackendNotice | None = None
    report: self_reports.SelfReport | None = None
    pace: float = 1.0
    over_share: dict[str, float] | None = None
    bottleneck: str = ""
    service_levels: Sequence[service_levels_lib.ServiceLevel] = ()
    over_share_age_s: float = 0.0


_STATUS_OF_REASON = {
    Reason.OVERLOAD: 503,
    Reason.SHED: 503,
    Reason.OVERLOAD_DEEPER: 503,
    Reason.LIMITED: 503,
    Reason.DEADLINE: 504,
    Reason.DRAINING: 503,
    Reason.NO_BACKEND: 503,
    Reason.NO_ROUTE: 404,
    Reason.NO_CONFIGURATION: 503,
    Reason.REJECTED: 503,
    Reason.OTHER_INCARNATION: 503,
    Reason.UNREACHABLE: 503,
    Reason.LOST_ANSWER: 504,
    Reason.QUARANTINED: 503,
    Reason.UNKNOWN_KEY: 401,
    Reason.OVER_QUOTA: 429,
    Reason.TICKET_NEEDED: 428,
    Reason.TICKET_BAD: 422,
    Reason.TICKET_OWNER_GONE: 409,
    Reason.STILL_RUNNING: 409,
    Reason.ANSWER_FORGOTTEN: 409,
    Reason.NO_SUCH_SERVICE: 404,
    Reason.CALLER_GONE: 503,
    Reason.BAD_REQUEST: 400,
    Reason.TOO_LARGE: 413,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.TOO_SLOW: 408,
    Reason.NO_ROOM: 503,
}


def not_run(
    reason: Reason, retry_after_s: float | None = None, unspent: int = 0
) -> Answer:
    """Returns a refusal with the outcome `NOT_RUN`.

    To be called only where no backend server has been handed the request.

    Args:
        reason: Why the request was refused.
        retry_after_s: Time to wait before a retry.
        unspent: Unused retry allowance.
    """
    return Answer(
        outcome=Outcome.NOT_RUN,
        status=_STATUS_OF_REASON[reason],
        reason=reason,
        retry_after_s=retry_after_s,
        unspent=unspent,
    )


def unknown(reason: Reason, retry_after_s: float | None = None) -> Answer:
    """Returns the answer for a request that may or may not have run."""
    return Answer(
        outcome=Outcome.UNKNOWN,
        status=_STATUS_OF_REASON[reason],
        reason=reason,
        retry_after_s=retry_after_s,
    )


def refused_input(reason: Reason, message: str) -> Answer:
    """Returns the refusal of an invalid request, with a message as its body."""
    return Answer(
        outcome=Outcome.NOT_RUN,
        status=_STATUS_OF_REASON[reason],
        reason=reason,
        body=message.encode(),
    )
