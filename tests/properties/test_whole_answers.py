"""Each request gets its own complete answer, or none.

The server sends answers that are complete, late, duplicated, truncated, without
a length or for another request, or bytes that are not HTTP, or nothing. Its
bytes arrive in chunks of any size, and connections are reused wherever that is
allowed. The oracle knows the body that belongs to each request.
"""

import asyncio
import dataclasses

import hypothesis
from hypothesis import strategies

from burdockfront_client import connection as connection_lib
from burdockfront_client import http_messages

_LIMIT_BYTES = 10_000
_TIMEOUT_S = 5.0


class _StubTransport:
    """Transport of a connection for which the test simulates the server."""

    def __init__(self) -> None:
        self.aborted = False

    def writelines(self, data: tuple[bytes, ...]) -> None:
        pass

    def abort(self) -> None:
        self.aborted = True

    def get_write_buffer_size(self) -> int:
        return 0


def _body_of(number: int) -> bytes:
    return f"the whole body of request {number}".encode() * (number % 3 + 1)


def _head(number: int, length: str) -> bytes:
    return f"HTTP/1.1 200 OK\r\nrequest-id: r{number}\r\n{length}\r\n".encode()


def _whole(number: int) -> bytes:
    body = _body_of(number)
    return _head(number, f"content-length: {len(body)}\r\n") + body


def _chunked(number: int) -> bytes:
    body = _body_of(number)
    half = len(body) // 2
    parts = b"".join(
        b"%x\r\n%s\r\n" % (len(part), part)
        for part in (body[:half], body[half:])
    )
    return (
        _head(number, "transfer-encoding: chunked\r\n") + parts + b"0\r\n\r\n"
    )


def _unframed(number: int) -> bytes:
    return _head(number, "") + _body_of(number)


@dataclasses.dataclass(frozen=True, slots=True)
class _Reaction:
    """The server's reaction to one request.

    Attributes:
        kind: See `_bytes_of`.
        truncated_at: Share of a truncated answer that is sent.
        chunk_bytes: Size of the chunks in which the bytes arrive.
        resets: Whether the connection ends with a reset instead of a FIN.
    """

    kind: str
    truncated_at: float
    chunk_bytes: int
    resets: bool


_KINDS = (
    "whole",
    "chunked",
    "unframed",
    "late-first",
    "twice",
    "another's",
    "cut",
    "chunked-cut",
    "unframed-cut",
    "no-answer",
    "bytes",
    "bytes-after",
)
_REACTIONS = strategies.builds(
    _Reaction,
    strategies.sampled_from(_KINDS),
    strategies.floats(0.0, 0.99),
    strategies.integers(1, 60),
    strategies.booleans(),
)


def _bytes_of(reaction: _Reaction, number: int) -> bytes:
    match reaction.kind:
        case "whole" | "bytes-after":
            return _whole(number)
        case "chunked":
            return _chunked(number)
        case "unframed":
            return _unframed(number)
        case "late-first":
            return _whole(number - 1) + _whole(number)
        case "twice":
            return _whole(number) * 2
        case "another's":
            return _whole(number + 100)
        case "cut":
            whole = _whole(number)
        case "chunked-cut":
            whole = _chunked(number)
        case "unframed-cut":
            # Only the way in which the connection ends shows whether the
            # answer is complete.
            return _unframed(number)[:-5]
        case "bytes":
            return b"\x00\x01 this is no answer\r\n\r\n"
        case _:
            return b""
    return whole[: int(reaction.truncated_at * len(whole))]


def _must_be_complete(reaction: _Reaction) -> bool:
    if reaction.kind == "unframed":
        return not reaction.resets
    return reaction.kind in (
        "whole",
        "chunked",
        "late-first",
        "twice",
        "bytes-after",
    )


def _may_be_complete(reaction: _Reaction) -> bool:
    """Whether the answer may be accepted.

    An answer without a length counts as complete wherever its connection is
    closed with a FIN.
    """
    if reaction.kind == "unframed-cut":
        return not reaction.resets
    return _must_be_complete(reaction)


class _Client:
    """Reuses a connection for as long as that is allowed."""

    def __init__(self) -> None:
        self._connection: connection_lib.Connection | None = None
        self.opened = 0

    async def request(
        self, reaction: _Reaction, number: int
    ) -> http_messages.RawAnswer | None:
        """Returns the answer, or None if it was lost."""
        connection = self._usable_connection()
        exchange = asyncio.create_task(
            connection.exchange(
                (b"GET / HTTP/1.1\r\n\r\n",),
                lambda answer: answer.header("request-id") == f"r{number}",
                _LIMIT_BYTES,
                _TIMEOUT_S,
            )
        )
        await asyncio.sleep(0)
        _deliver(connection, reaction, number)
        try:
            answer = await exchange
        except connection_lib.AnswerLostError:
            return None
        if reaction.kind == "bytes-after":
            connection.data_received(b"HTTP/1.1 200 OK\r\n")
        return answer

    def _usable_connection(self) -> connection_lib.Connection:
        current = self._connection
        if current is not None and current.usable:
            return current
        self.opened += 1
        self._connection = connection_lib.Connection()
        self._connection.connection_made(
            _StubTransport()  # type: ignore[arg-type]
        )
        return self._connection


def _deliver(
    connection: connection_lib.Connection, reaction: _Reaction, number: int
) -> None:
    """Delivers the bytes of a reaction to the connection."""
    data = _bytes_of(reaction, number)
    step = reaction.chunk_bytes
    for start in range(0, len(data), step):
        if connection._closed:
            return
        connection.data_received(data[start : start + step])
    if _must_be_complete(reaction) and reaction.kind != "unframed":
        return
    if not connection._closed:
        if not reaction.resets:
            connection.eof_received()
        connection.connection_lost(
            ConnectionResetError() if reaction.resets else None
        )


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(reactions=strategies.lists(_REACTIONS, max_size=6))
def test_answer_is_complete_and_own_or_lost(reactions):
    async def scenario() -> None:
        client = _Client()
        for number, reaction in enumerate(reactions, 1):
            answer = await client.request(reaction, number)
            if answer is None:
                assert not _must_be_complete(reaction), (
                    "a complete answer was lost"
                )
                continue
            assert _may_be_complete(reaction), "the answer was incomplete"
            assert answer.header("request-id") == f"r{number}"
            if reaction.kind != "unframed-cut":
                assert answer.body == _body_of(number)

    asyncio.run(scenario())
