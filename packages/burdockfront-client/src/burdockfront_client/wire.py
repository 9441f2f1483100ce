"""Wire format of calls and answers between processes.

A call is plain HTTP to `/call/SERVICE/PATH` of the guard's internal port, with
the signed context. A guard describes an answer in a single header, because each
header costs processing time in every layer.
"""

import dataclasses
import functools
import math
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any

import orjson

from burdockfront import context as context_lib
from burdockfront import errors
from burdockfront import outcomes
from burdockfront import self_reports
from burdockfront import service_levels

# Headers between nodes; short, because every byte and header adds cost.
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
# Headers of a backend server's self report, on its answers.
LIMIT = "Burdockfront-Limit"
LEAVING = "Burdockfront-Leaving"
PATH_LEVEL = "Burdockfront-Path-Level"
IDEMPOTENCY_KEY = "Idempotency-Key"
CALL_PREFIX = "/call/"
# Prefix of a request id field that names the header with the id instead.
ID_IN_HEADER = "="

# RFC 9110, 7.6.1: these apply to one connection and are not forwarded.
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
_CACHED_NAMES = 1024
_PARTS_WITHOUT_REPORT = 14
_PARTS_WITHOUT_SERVER_STATE = 15
# Fields of the server state on an answer: the pace of the backend server, and
# the client accounts above their fair share, with the age of that report.
_PACE = "p"
_OVER_SHARE = "h"
# The service whose level the answer has, and the levels of short services.
_BOTTLENECK = "b"
_SERVICE_LEVELS = "s"
_OVER_SHARE_AGE = "a"
_OUTCOMES = {outcome.value: outcome for outcome in outcomes.Outcome}


def end_to_end(
    headers: Iterable[tuple[str, str]],
    dropped: frozenset[str] = frozenset(),
) -> tuple[tuple[str, str], ...]:
    """Returns the end-to-end headers, which are forwarded.

    Internal headers are dropped too: values that a caller or a backend server
    sets there must not be mistaken for those of a node.

    Args:
        headers: All headers.
        dropped: Names of further headers that are not forwarded.
    """
    return tuple(
        [
            pair
            for pair in headers
            if _is_forwarded(pair[0]) and pair[0] not in dropped
        ]
    )


@functools.lru_cache(maxsize=_CACHED_NAMES)
def _is_forwarded(name: str) -> bool:
    """Whether a header of this name is forwarded.

    Cached, because the same few names occur in nearly all messages.
    """
    name = name.lower()
    if name in _HOP_BY_HOP or name in _INTERNAL:
        return False
    return not name.startswith(_INTERNAL_PREFIX)


@dataclasses.dataclass(slots=True)
class CallMetadata:
    """Properties of a call that the entry sends in addition to its context.

    Instances are never modified. The class is not frozen, because a frozen one
    takes three times as long to create.

    Attributes:
        repeatable: Whether the call can safely be repeated; None derives this
            from the method.
        host: Host header of the caller.
        origin_service: Service of the node at which the request entered.
        account: Client account of the request; empty for calls of backend
            servers.
    """

    repeatable: bool | None = None
    host: str = ""
    origin_service: str = ""
    account: str = ""


@dataclasses.dataclass(slots=True)
class ReceivedCall:
    """Parsed headers of a call between nodes.

    Instances are never modified. The class is not frozen, because a frozen one
    takes three times as long to create.

    Attributes:
        context: Signed context.
        stamp: Logical clock stamp of the calling node.
        metadata: Properties of the call that the entry set.
        ticket: Ticket of a call that must run at most once; empty if the call
            can be repeated.
        headers: The caller's own headers, to be forwarded.
        report: Self report of the backend server that the calling node
            received last.
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
    """Returns the value of the call header.

    The host is not part of it: it is sent as the `Host` header.

    Args:
        stamp: Logical clock stamp of the calling node.
        metadata: Properties of the call that the entry set.
        ticket: Ticket of a call that must run at most once; empty if the call
            can be repeated.
        report: Self report of the backend server that the calling node
            received last.
    """
    parts: list[object]
    parts = [stamp, metadata.repeatable, metadata.origin_service, ticket]
    if metadata.account or report is not None:
        # Nodes of releases without client accounts accept exactly four parts.
        parts.append(metadata.account)
    if report is not None:
        parts.append(report.to_parts())
    return orjson.dumps(parts).decode("latin-1")


def read_call(headers: Sequence[tuple[str, str]]) -> ReceivedCall:
    """Parses the headers of a call.

    Args:
        headers: All headers, names in lower case.

    Raises:
        InvalidInputError: The call header is missing, or was not encoded by a
            compatible release.
    """
    by_name = dict(headers)
    context = by_name.get(CONTEXT, "")
    encoded = by_name.get(CALL, "")
    host = by_name.get("host", "")
    try:
        stamp, repeatable, origin_service, ticket, *rest = orjson.loads(
            encoded.encode("latin-1")
        )
    except (TypeError, ValueError):
        raise errors.InvalidInputError(
            f"expected {CALL} header of this release, got {encoded[:60]!r}; "
            f"all nodes must run compatible releases."
        ) from None
    # Without a route table, the host of a call is the address of the guard.
    if repeatable is None:
        metadata = CallMetadata()
    else:
        account = rest[0] if rest else ""
        metadata = CallMetadata(repeatable, host, origin_service, account)
    report = None
    if len(rest) > 1:
        report = self_reports.from_parts(rest[1])
    kept = end_to_end(headers)
    return ReceivedCall(context, stamp, metadata, ticket, kept, report)


def restore_id(
    context: context_lib.RequestContext,
    headers: tuple[tuple[str, str], ...],
) -> None:
    """Resolves a request id that was sent in a header, not in the context."""
    if not context.request_id.startswith(ID_IN_HEADER):
        return
    id_header = context.request_id.removeprefix(ID_IN_HEADER)
    for name, value in headers:
        if name == id_header:
            context.request_id = value
            return


def encode_answer(answer: outcomes.Answer, attempt_id: str, stamp: int) -> str:
    """Returns the value of the answer header."""
    parts: list[object] = [
        attempt_id,
        answer.outcome,
        answer.reason,
        answer.retry_after_s,
        answer.unspent,
        answer.level,
        answer.moved_to,
        round(answer.queue_s, 4) if answer.queue_s else 0.0,
        None if answer.load is None else round(answer.load, 3),
        answer.draining,
        stamp,
        answer.starved,
        answer.nested_call,
        round(answer.far_kb, 1) if answer.far_kb else 0.0,
    ]
    has_state = answer.pace != 1.0 or answer.over_share or answer.service_levels
    if answer.report is not None:
        parts.append(answer.report.to_parts())
    elif has_state:
        parts.append(None)
    if has_state:
        # Nodes of earlier releases do not read this part, so it is sent only
        # where a server reports its state or accounts compete.
        parts.append(_server_state_of(answer))
    return orjson.dumps(parts).decode()


def _server_state_of(answer: outcomes.Answer) -> dict[str, object]:
    state: dict[str, object] = {}
    if answer.pace != 1.0:
        state[_PACE] = round(answer.pace, 2)
    if answer.over_share:
        state[_OVER_SHARE] = answer.over_share
        if answer.over_share_age_s:
            state[_OVER_SHARE_AGE] = round(answer.over_share_age_s, 3)
    if answer.service_levels:
        state[_BOTTLENECK] = answer.bottleneck
        state[_SERVICE_LEVELS] = [
            [one.service, one.level, round(one.age_s, 3)]
            for one in answer.service_levels
        ]
    return state


def is_answer_to(value: str | None, attempt_id: str) -> bool:
    """Whether the answer of a guard belongs to an attempt.

    An answer without the guard's header counts as one: it is an error that was
    generated before the call was parsed, for example because its head is too
    large.
    """
    return value is None or value.startswith(f'["{attempt_id}"')


def decode_answer(
    value: str | None,
    attempt_id: str,
    status: int,
    headers: tuple[tuple[str, str], ...],
    body: bytes,
) -> tuple[outcomes.Answer, int]:
    """Parses an answer of a guard.

    Returns:
        The answer and the logical clock stamp of the guard.

    Raises:
        DispatchError: The answer belongs to another attempt, has no answer
            header, or has one that can't be parsed.
    """
    if value is None:
        raise errors.DispatchError(
            f"expected an answer with a {ANSWER} header, got status {status} "
            f"without it; check that the address is a node's internal port."
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
            queue_s=parts[7] + 0.0,
            load=parts[8],
            draining=parts[9],
            starved=parts[11],
            nested_call=parts[12],
            far_kb=parts[13],
        )
        if len(parts) > _PARTS_WITHOUT_REPORT and parts[14] is not None:
            answer.report = self_reports.from_parts(parts[14])
        if len(parts) > _PARTS_WITHOUT_SERVER_STATE:
            _read_server_state(parts[15], answer)
        return answer, parts[10]
    except (
        errors.InvalidInputError,
        AttributeError,
        LookupError,
        TypeError,
        ValueError,
    ) as error:
        # Any other exception type would bypass the accounting of open attempts
        # in the sender, which handles only DispatchError.
        raise errors.DispatchError(
            f"expected {ANSWER} header of this release, got {value[:60]!r} "
            f"with {error!r}; all nodes must run compatible releases."
        ) from None


def _read_server_state(state: dict[str, Any], answer: outcomes.Answer) -> None:
    if _PACE in state:
        pace = state[_PACE]
        # Nearly always the only field, and a number that needs no conversion.
        is_valid = pace.__class__ is float and 0.0 < pace < math.inf
        answer.pace = pace if is_valid else _positive(pace)
        if len(state) == 1:
            return
    over_share = state.get(_OVER_SHARE)
    if over_share is not None:
        answer.over_share = {
            str(tag): _positive(ratio) for tag, ratio in over_share.items()
        }
        age_s = state.get(_OVER_SHARE_AGE, 0.0)
        answer.over_share_age_s = _positive(age_s) if age_s else 0.0
    answer.bottleneck = str(state.get(_BOTTLENECK, ""))
    answer.service_levels = [
        service_levels.ServiceLevel(
            str(service), int(level), _positive(age_s) if age_s else 0.0
        )
        for service, level, age_s in state.get(_SERVICE_LEVELS, ())
    ]


def _positive(value: object) -> float:
    """Returns a positive, finite number of another node's message.

    Raises:
        ValueError: It is no such number.
    """
    number = float(value) if isinstance(value, int | float) else math.nan
    if not 0.0 < number < math.inf:
        raise ValueError(f"expected a number above 0, got {value!r}")
    return number
