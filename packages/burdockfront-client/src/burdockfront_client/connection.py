"""One connection to a backend server that may misbehave.

Backend servers send answers late or twice, append bytes, break off, or answer
before they have read the request. What arrives on a kept connection must never
be taken for the answer to the request that happens to wait there. The usual
HTTP clients hand such bytes to the next request: they cannot know better,
since HTTP/1.1 does not number its answers. Here every answer is offered to the
request that waits, which recognises its own; what it does not recognise is
dropped, and a connection that ever showed such bytes is not used again.

The parser is that of `httptools`.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from collections.abc import Iterable
from typing import cast

import httptools

from burdockfront import errors
from burdockfront_client import header_names

_HEADERS_BYTES = 65_536
_NO_BODY = (204, 304)


class NotSentError(errors.DispatchError):
    """Nothing was sent: the request provably did not run."""


class AnswerLostError(errors.DispatchError):
    """The request was sent, but no whole answer of its own came back."""


class AnswerLateError(AnswerLostError):
    """No whole answer came in time."""


class AnswerTooLargeError(AnswerLostError):
    """The answer is larger than allowed; what was asked for did run."""


@dataclasses.dataclass(slots=True)
class RawAnswer:
    """An answer as it stood on the connection.

    Attributes:
        status: HTTP status code.
        headers: All headers in their order, names in lower case.
        body: The whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """Returns the first header of this lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


@dataclasses.dataclass(slots=True)
class _Waiting:
    answer: asyncio.Future[RawAnswer]
    is_own: Callable[[RawAnswer], bool]
    limit_bytes: int
    timer: asyncio.TimerHandle


class Connection(asyncio.Protocol):
    """Serves one request at a time.

    Attributes:
        idle_since_s: Loop time at which the last answer ended.
        keep_alive_s: How long the other side keeps it open while idle, as it
            said last; None if it did not say.
    """

    def __init__(self) -> None:
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiting: _Waiting | None = None
        self._reusable = True
        self._closed = False
        self._begin_message()

    # ---- asyncio ---------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport."""
        # The transports of uvloop are no subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parses what arrives."""
        if self._waiting is None:
            # Nobody waits, so these bytes belong to no request.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"sent what is no HTTP answer ({error})")
        except httptools.HttpParserUpgrade:
            self._fail("switched to another protocol")

    def eof_received(self) -> bool:
        """Ends an answer that has no length, or fails the one under way."""
        if self._waiting is not None and self._ends_with_connection():
            self._end_message()
        self._fail("closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the request that waits, if there is one."""
        self._closed = True
        self._fail(f"reset the connection ({exc!r})")

    # ---- parser ----------------------------------------------------------

    def on_message_begin(self) -> None:
        """Begins an answer."""
        if self._message_done:
            # A second answer behind the first one.
            self._reusable = False
        self._begin_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        self._headers_bytes += len(name) + len(value)
        if self._headers_bytes > _HEADERS_BYTES:
            self._fail(f"sent more than {_HEADERS_BYTES} bytes of headers")
            return
        known = header_names.KNOWN.get(name) or header_names.lowered(name)
        self._headers.append((known, value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Notes that the headers are whole."""
        self._headers_done = True
        self._status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body."""
        self._body.append(body)
        self._body_bytes += len(body)
        waiting = self._waiting
        if waiting is not None and self._body_bytes > waiting.limit_bytes:
            self._fail(
                f"answered more than {waiting.limit_bytes} bytes",
                AnswerTooLargeError,
            )

    def on_message_complete(self) -> None:
        """Ends an answer."""
        self._end_message()

    # ---- use -------------------------------------------------------------

    @property
    def usable(self) -> bool:
        """Whether another request may be sent on it."""
        return self._reusable and not self._closed and self._waiting is None

    async def exchange(
        self,
        request: bytes,
        is_own: Callable[[RawAnswer], bool],
        limit_bytes: int,
        timeout_s: float,
    ) -> RawAnswer:
        """Sends a request and waits for its answer.

        Cancelling it closes the connection, which tells the other side that
        nobody waits any more.

        Args:
            request: The request as it goes on the wire.
            is_own: Tells whether an answer is the one to this request.
            limit_bytes: Largest body.
            timeout_s: How long the whole answer is waited for.

        Raises:
            NotSentError: The connection was closed already.
            AnswerLateError: It was sent, but the answer was not here in time.
            AnswerLostError: It was sent, but no whole answer came.
        """
        if not self.usable or self._transport is None:
            raise NotSentError("the connection was closed; nothing was sent.")
        loop = self._loop
        self._begin_message()
        waiting = self._waiting = _Waiting(
            loop.create_future(),
            is_own,
            limit_bytes,
            loop.call_later(timeout_s, self._be_late, timeout_s),
        )
        self._transport.write(request)
        try:
            answer = await waiting.answer
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            waiting.timer.cancel()
            self._waiting = None
        self.idle_since_s = loop.time()
        if self._transport.get_write_buffer_size() > 0:
            # Answered before the whole request was taken: the rest of its
            # body would be read as the beginning of the next request.
            self.close()
        return answer

    def close(self) -> None:
        """Closes it; a request that waits fails."""
        self._reusable = False
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    def _begin_message(self) -> None:
        self._status = 0
        self._headers: list[tuple[str, str]] = []
        self._headers_bytes = 0
        self._headers_done = False
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._message_done = False

    def _end_message(self) -> None:
        self._message_done = True
        if self._status < 200:
            # 100 Continue and its like: the answer itself follows.
            self._message_done = False
            return
        if not self._parser.should_keep_alive():
            self._reusable = False
        answer = RawAnswer(
            self._status, tuple(self._headers), b"".join(self._body)
        )
        waiting = self._waiting
        if waiting is None or waiting.answer.done():
            self._reusable = False
            return
        if not waiting.is_own(answer):
            # The late answer to an earlier request; ours may still follow.
            self._reusable = False
            return
        self.keep_alive_s = _keep_alive_of(answer)
        waiting.answer.set_result(answer)

    def _ends_with_connection(self) -> bool:
        if not self._headers_done or self._message_done:
            return False
        names = {name for name, _ in self._headers}
        framed = {"content-length", "transfer-encoding"} & names
        return not framed and self._status not in _NO_BODY

    def _be_late(self, timeout_s: float) -> None:
        """Gives up the request that waits, and tells the other side so."""
        waiting = self._waiting
        if waiting is not None and not waiting.answer.done():
            waiting.answer.set_exception(
                AnswerLateError(
                    f"no whole answer came within {timeout_s:.3f} s; the "
                    f"request may have run."
                )
            )
        self.close()

    def _fail(
        self, what: str, kind: type[AnswerLostError] = AnswerLostError
    ) -> None:
        self._reusable = False
        waiting = self._waiting
        if waiting is not None and not waiting.answer.done():
            waiting.answer.set_exception(
                kind(
                    f"the other side {what} before the whole answer to "
                    f"the request was here; the request may have run."
                )
            )
        if not self._closed:
            self.close()


def encode_request(
    method: str,
    target: str,
    host: str,
    headers: Iterable[tuple[str, str]],
    body: bytes,
) -> bytes:
    """Returns a request as it goes on the wire."""
    line = f"{method} {target} HTTP/1.1\r\nhost: {host}\r\n"
    fields = "".join([f"{name}: {value}\r\n" for name, value in headers])
    if not body and method in ("GET", "HEAD"):
        return f"{line}{fields}\r\n".encode("latin-1")
    length = f"content-length: {len(body)}\r\n\r\n"
    return f"{line}{fields}{length}".encode("latin-1") + body


def _keep_alive_of(answer: RawAnswer) -> float | None:
    """Returns the idle time that a Keep-Alive header states."""
    value = answer.header("keep-alive")
    if value is None:
        return None
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout" and number.isdigit():
            return float(number)
    return None
