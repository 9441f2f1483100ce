"""How calls and answers look between processes.

A call is plain HTTP to `/call/SERVICE/PATH` of the guard's internal port, with
the signed context. What a guard says about an answer fits into one header,
because each header costs time in every layer.
"""

import dataclasses
import functools
from collections.abc import Iterable

import orjson

from burdockfront import context as context_lib
from burdockfront import errors
from burdockfront import outcomes
from burdockfront import self_reports

# Between nodes, where each byte and each header is paid for.
CONTEXT = "b-context"
CALL = "b-call"
ANSWER = "b-answer"
OUTCOME = "Burdockfront-Outcome"
REASON = "Burdockfront-Reason"
DEADLINE = "Burdockfront-Deadline"
ATTEMPT = "Burdockfront-Attempt"
REQUEST_ID = "Burdockfront-Request-Id"
TICKET = "Burdockfront-Ticket"
UNSPENT = "Burdockfront-Unspent"
# What a backend server says of itself on its answers.
LIMIT = "Burdockfront-Limit"
LEAVING = "Burdockfront-Leaving"
PATH_LEVEL = "Burdockfront-Path-Level"
IDEMPOTENCY_KEY = "Idempotency-Key"
CALL_PREFIX = "/call/"
# In place of a request's id: the name of the header that bears it.
ID_IN_HEADER = "="

# RFC 9110, 7.6.1: these belong to one connection and are not passed on.
_HOP_BY_HOP = frozenset(
    [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    ]
)
_INTERNAL = frozenset([CONTEXT, CALL, ANSWER])
_INTERNAL_PREFIX = "burdockfront-"
_NAMES_REMEMBERED = 1024
_PARTS_WITHOUT_REPORT = 14
_OUTCOMES = {outcome.value: outcome for outcome in outcomes.Outcome}


def end_to_end(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers that travel on.

    Internal headers are dropped too: whatever a caller or a backend server
    sets there must not be taken for the word of a node.
    """
    return tuple([pair for pair in headers if _travels_on(pair[0])])


@functools.lru_cache(maxsize=_NAMES_REMEMBERED)
def _travels_on(name: str) -> bool:
    """Whether a header of this name is passed on; the same few come always."""
    name = name.lower()
    if name in _HOP_BY_HOP or name in _INTERNAL:
        return False
    return not name.startswith(_INTERNAL_PREFIX)


@dataclasses.dataclass(frozen=True, slots=True)
class CallMetadata:
    """What the entry says of a call besides its context.

    Attributes:
        repeatable: Whether repeating does no harm; None: judge by the method.
        host: Host that the caller named.
        origin_service: Service beside which the request entered.
        account: Client account whose request it is; empty for calls.
    """

    repeatable: bool | None = None
    host: str = ""
    origin_service: str = ""
    account: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedCall:
    """What the headers of a call between nodes say.

    Attributes:
        context: Signed context.
        stamp: The asking node's clock.
        metadata: What the entry says besides.
        ticket: Ticket of a call that must not repeat; empty if it may.
        headers: The caller's own headers, which travel on.
        report: What the asking node last heard of the backend server.
    """

    context: str
    stamp: int
    metadata: CallMetadata
    ticket: str
    headers: tuple[tuple[str, str], ...]
    report: self_reports.SelfReport | None = None


def encode_call(
    stamp: int,
    metadata: CallMetadata,
    ticket: str,
    report: self_reports.SelfReport | None = None,
) -> str:
    """Returns the header value that describes a call; the host has its own.

    Args:
        stamp: The asking node's clock.
        metadata: What the entry says of the call.
        ticket: Ticket of a call that must not repeat; empty if it may.
        report: What the asking node last heard of the backend server.
    """
    parts: list[object]
    parts = [stamp, metadata.repeatable, metadata.origin_service, ticket]
    if metadata.account or report is not None:
        # Nodes of releases that know no accounts take four parts.
        parts.append(metadata.account)
    if report is not None:
        parts.append(report.to_parts())
    return orjson.dumps(parts).decode("latin-1")


def read_call(headers: Iterable[tuple[str, str]]) -> ReceivedCall:
    """Reads the headers of a call.

    Args:
        headers: All headers, names in lower case.

    Raises:
        InvalidInputError: They were not made by this release.
    """
    context = ""
    described = ""
    host = ""
    kept = []
    for pair in headers:
        name, value = pair
        if name == CONTEXT:
            context = value
        elif name == CALL:
            described = value
        elif name == "host":
            host = value
        elif _travels_on(name):
            kept.append(pair)
    try:
        stamp, repeatable, origin_service, ticket, *rest = orjson.loads(
            described.encode("latin-1")
        )
    except (TypeError, ValueError):
        raise errors.InvalidInputError(
            f"expected {CALL} of this release, got {described[:60]!r}; all "
            f"nodes must run compatible releases."
        ) from None
    # Without routes the host of a call is only the address of the guard.
    metadata = CallMetadata()
    if repeatable is not None:
        account = rest[0] if rest else ""
        metadata = CallMetadata(repeatable, host, origin_service, account)
    report = None
    if len(rest) > 1:
        report = self_reports.from_parts(rest[1])
    return ReceivedCall(context, stamp, metadata, ticket, tuple(kept), report)


def restore_id(
    context: context_lib.RequestContext,
    headers: tuple[tuple[str, str], ...],
) -> None:
    """Puts an id that travelled in a header of its own back into a context."""
    if not context.request_id.startswith(ID_IN_HEADER):
        return
    wanted = context.request_id.removeprefix(ID_IN_HEADER)
    for name, value in headers:
        if name == wanted:
            context.request_id = value
            return


def encode_answer(answer: outcomes.Answer, attempt_id: str, stamp: int) -> str:
    """Returns the header value that describes an answer."""
    parts: list[object] = [
        attempt_id,
        answer.outcome,
        answer.reason,
        answer.retry_after_s,
        answer.unspent,
        answer.level,
        answer.moved_to,
        round(answer.queue_s, 4),
        None if answer.load is None else round(answer.load, 3),
        answer.draining,
        stamp,
        answer.starved,
        answer.nested_call,
        round(answer.far_kb, 1),
    ]
    if answer.report is not None:
        parts.append(answer.report.to_parts())
    return orjson.dumps(parts).decode()


def is_answer_to(value: str | None, attempt_id: str) -> bool:
    """Tells whether an answer of a guard is the one to an attempt.

    One without a guard's header was made before the call was read, for
    example for a head that is too large. It is an answer, of an error.
    """
    return value is None or value.startswith(f'["{attempt_id}"')


def decode_answer(
    value: str | None,
    attempt_id: str,
    status: int,
    headers: tuple[tuple[str, str], ...],
    body: bytes,
) -> tuple[outcomes.Answer, int]:
    """Reads an answer of a guard.

    Returns:
        The answer and the stamp of the guard's clock.

    Raises:
        DispatchError: The answer belongs to another attempt, or to nobody.
    """
    if value is None:
        raise errors.DispatchError(
            f"expected an answer with {ANSWER}, got status {status} without "
            f"it; check that the address is a node's internal port."
        )
    try:
        parts = orjson.loads(value)
        if parts[0] != attempt_id:
            raise errors.DispatchError(
                f"expected the answer to attempt {attempt_id}, got the one to "
                f"{parts[0]}; the connection is closed and the answer dropped."
            )
        answer = outcomes.Answer(
            outcome=_OUTCOMES[parts[1]],
            status=status,
            headers=headers,
            body=body,
            reason=outcomes.Reason(parts[2]) if parts[2] else None,
            retry_after_s=parts[3],
            unspent=parts[4],
            level=parts[5],
            moved_to=parts[6],
            queue_s=parts[7],
            load=parts[8],
            draining=parts[9],
            starved=parts[11],
            nested_call=parts[12],
            far_kb=parts[13],
        )
        if len(parts) > _PARTS_WITHOUT_REPORT:
            answer.report = self_reports.from_parts(parts[14])
        return answer, parts[10]
    except (
        errors.InvalidInputError,
        LookupError,
        TypeError,
        ValueError,
    ) as error:
        # Raised as what it is, it would pass those who count open attempts.
        raise errors.DispatchError(
            f"expected {ANSWER} of this release, got {value[:60]!r} with "
            f"{error!r}; all nodes must run compatible releases."
        ) from None
