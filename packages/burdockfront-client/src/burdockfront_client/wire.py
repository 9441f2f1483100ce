"""How calls and answers look between processes.

A call is plain HTTP to `/call/SERVICE/PATH` of the guard's internal port, with
the signed context. What a guard says about an answer fits into one header,
because each header costs time in every layer.
"""

import dataclasses
import functools
from collections.abc import Iterable

import orjson

from burdockfront import errors
from burdockfront import outcomes

ANSWER = "Burdockfront-Answer"
OUTCOME = "Burdockfront-Outcome"
REASON = "Burdockfront-Reason"
STAMP = "Burdockfront-Stamp"
DEADLINE = "Burdockfront-Deadline"
ATTEMPT = "Burdockfront-Attempt"
REQUEST_ID = "Burdockfront-Request-Id"
TICKET = "Burdockfront-Ticket"
UNSPENT = "Burdockfront-Unspent"
PATH_LEVEL = "Burdockfront-Path-Level"
IDEMPOTENCY_KEY = "Idempotency-Key"
MARK = "Burdockfront-Mark"
CALL_PREFIX = "/call/"

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
_INTERNAL_PREFIX = "burdockfront-"
_NAMES_REMEMBERED = 1024


def end_to_end(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers that travel on.

    Internal headers are dropped too: whatever a caller or a backend server
    sets there must not be taken for the word of a node.
    """
    return tuple(pair for pair in headers if _travels_on(pair[0]))


@functools.lru_cache(maxsize=_NAMES_REMEMBERED)
def _travels_on(name: str) -> bool:
    """Whether a header of this name is passed on; the same few come always."""
    name = name.lower()
    return name not in _HOP_BY_HOP and not name.startswith(_INTERNAL_PREFIX)


@dataclasses.dataclass(frozen=True, slots=True)
class Mark:
    """What the entry says of a call besides its context.

    Attributes:
        repeatable: Whether repeating does no harm; None: judge by the method.
        host: Host that the caller named.
        origin_service: Service beside which the request entered.
    """

    repeatable: bool | None = None
    host: str = ""
    origin_service: str = ""


def encode_mark(mark: Mark) -> str:
    """Returns the header value of a mark."""
    parts = [mark.repeatable, mark.host, mark.origin_service]
    return orjson.dumps(parts).decode("latin-1")


def decode_mark(value: str | None) -> Mark:
    """Reads a mark; a call without one has the defaults.

    Raises:
        InvalidInputError: It was not made by this release.
    """
    if value is None:
        return Mark()
    try:
        repeatable, host, origin_service = orjson.loads(value.encode("latin-1"))
    except (TypeError, ValueError):
        raise errors.InvalidInputError(
            f"expected a mark of a call, got {value[:60]!r}; all nodes must "
            f"run compatible releases."
        ) from None
    return Mark(repeatable, host, origin_service)


def encode_answer(answer: outcomes.Answer, attempt_id: str, stamp: int) -> str:
    """Returns the header value that describes an answer."""
    return orjson.dumps(
        [
            attempt_id,
            answer.outcome.value,
            answer.reason.value if answer.reason else None,
            answer.retry_after_s,
            answer.unspent,
            answer.level,
            answer.moved_to,
            round(answer.queue_s, 4),
            None if answer.load is None else round(answer.load, 3),
            answer.draining,
            stamp,
            answer.starved,
            answer.inner,
            round(answer.detours, 1),
        ]
    ).decode()


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
    parts = orjson.loads(value)
    if parts[0] != attempt_id:
        raise errors.DispatchError(
            f"expected the answer to attempt {attempt_id}, got the one to "
            f"{parts[0]}; the connection is closed and the answer dropped."
        )
    answer = outcomes.Answer(
        outcome=outcomes.Outcome(parts[1]),
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
        inner=parts[12],
        detours=parts[13],
    )
    return answer, parts[10]
