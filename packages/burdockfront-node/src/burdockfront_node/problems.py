"""Answers that a node gives itself, as problem details (RFC 9457)."""

import math

import orjson

from burdockfront import errors
from burdockfront import outcomes
from burdockfront_client import wire
from burdockfront_node.filters import base
from burdockfront_node.internal import messages

_TITLES = {
    outcomes.Reason.OVERLOAD: "The service is overloaded.",
    outcomes.Reason.SHED: "The service is overloaded; more important requests "
    "go first.",
    outcomes.Reason.OVERLOAD_DEEPER: "A deeper service is overloaded.",
    outcomes.Reason.DEADLINE: "The deadline can't be met.",
    outcomes.Reason.DRAINING: "The backend server is leaving.",
    outcomes.Reason.NO_BACKEND: "No backend server is there now.",
    outcomes.Reason.UNREACHABLE: "The backend server can't be reached.",
    outcomes.Reason.LOST_ANSWER: "The answer was lost; it may have run.",
    outcomes.Reason.TICKET_NEEDED: "A confirmation needs a ticket; the "
    "header Burdockfront-Ticket brings one. Repeat with it as "
    "Idempotency-Key.",
    outcomes.Reason.TICKET_BAD: "The ticket is for another service.",
    outcomes.Reason.TICKET_OWNER_GONE: "The only node that knows this "
    "ticket is gone, or the ticket is too old. If it was never sent before, "
    "take a new ticket; otherwise look up the result in the service itself.",
    outcomes.Reason.STILL_RUNNING: "It is still running; ask again.",
    outcomes.Reason.ANSWER_FORGOTTEN: "It has run; its answer is no longer "
    "kept. Look up the result in the service itself.",
    outcomes.Reason.NO_SUCH_SERVICE: "No such service is known.",
    outcomes.Reason.BAD_REQUEST: "The request is not valid.",
    outcomes.Reason.TOO_LARGE: "The request is too large.",
    outcomes.Reason.CALLER_GONE: "Nobody waited for it any more.",
    outcomes.Reason.REJECTED: "The backend server refused it.",
    outcomes.Reason.OTHER_INCARNATION: "The backend server was replaced.",
    outcomes.Reason.NO_ROUTE: "No route matches.",
    outcomes.Reason.NO_CONFIGURATION: "No configuration is known yet.",
    outcomes.Reason.HEADERS_TOO_LARGE: "The headers are too large.",
    outcomes.Reason.TOO_SLOW: "The request took too long to arrive.",
    outcomes.Reason.NO_ROOM: "Other request bodies take all memory there is "
    "for them.",
}


def of_error(error: errors.BurdockfrontError) -> outcomes.Answer:
    """Returns the answer that rejects invalid input."""
    if isinstance(error, messages.NoRoomError):
        return outcomes.not_run(outcomes.Reason.NO_ROOM, error.retry_after_s)
    status = 400
    reason = outcomes.Reason.BAD_REQUEST
    if isinstance(error, errors.AuthenticationError):
        status = 403
    elif isinstance(error, errors.TicketError):
        status = 422
        reason = outcomes.Reason.TICKET_BAD
    elif isinstance(error, messages.BodyTooLargeError):
        status = 413
        reason = outcomes.Reason.TOO_LARGE
    return outcomes.Answer(
        outcome=outcomes.Outcome.NOT_RUN,
        status=status,
        reason=reason,
        body=str(error).encode(),
    )


def of_unread(error: errors.InvalidInputError) -> outcomes.Answer:
    """Returns the refusal of a request that was not read whole."""
    if isinstance(error, messages.NoRoomError):
        return outcomes.not_run(outcomes.Reason.NO_ROOM, error.retry_after_s)
    reason = outcomes.Reason.BAD_REQUEST
    if isinstance(error, messages.BodyTooLargeError):
        reason = outcomes.Reason.TOO_LARGE
    elif isinstance(error, messages.BodyTooSlowError):
        reason = outcomes.Reason.TOO_SLOW
    return outcomes.refused_input(reason, str(error))


def to_http(
    entry: base.Entry, answer: outcomes.Answer
) -> tuple[list[tuple[str, str]], bytes]:
    """Returns the headers and body of the HTTP response to the caller."""
    headers = [(wire.OUTCOME, answer.outcome.value)]
    if entry.request_id:
        headers.append((wire.REQUEST_ID, entry.request_id))
    if entry.fresh_ticket:
        headers.append((wire.TICKET, entry.fresh_ticket))
    if answer.outcome is outcomes.Outcome.DONE:
        return [*answer.headers, *headers], answer.body
    assert answer.reason is not None
    headers.append((wire.REASON, answer.reason.value))
    headers.append(("Content-Type", "application/problem+json"))
    if answer.retry_after_s is not None:
        # The header allows whole seconds only; the body has the exact value.
        whole_s = math.ceil(answer.retry_after_s)
        headers.append(("Retry-After", str(whole_s)))
    problem = {
        "type": f"urn:burdockfront:{answer.reason.value}",
        "title": _TITLES[answer.reason],
        "status": answer.status,
        "outcome": answer.outcome.value,
        "retry_after_s": answer.retry_after_s,
        "request_id": entry.request_id,
    }
    if answer.body:
        problem["detail"] = answer.body.decode("utf-8", "replace")
    return headers, orjson.dumps(problem)
