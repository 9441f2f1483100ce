"""HTTP/1.1 client connection to a server that may misbehave.

Backend servers send answers late or twice, append bytes, close the connection
in the middle of an answer, or answer before they have read the request. Bytes
that arrive on a reused connection must never be mistaken for the answer to the
pending request. General HTTP clients pass such bytes to the next request,
because HTTP/1.1 answers carry no request id. Here the pending request decides
whether an answer is its own. Any other answer is dropped, and the connection on
which it arrived is not reused.

A server may also send bytes without end. All that it can send in place of an
answer is limited: the head, the body, what frames the body, and the number of
answers that are skipped. The time limit alone would not do, since reading such
bytes occupies the event loop until then.

Answers are parsed by `httptools`.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import cast

import httptools

from burdockfront import errors
from burdockfront_client import answer_memory
from burdockfront_client import header_names
from burdockfront_client import http_messages

_MAX_HEADERS_BYTES = 65_536
# Chunk sizes, chunk extensions and trailers may take up as much as the headers,
# and one byte for this many bytes of the body.
_BODY_BYTES_PER_FRAMING_BYTE = 8
# Informational answers, and answers that belong to another request, that may
# precede the answer to a request.
_MAX_SKIPPED_ANSWERS = 16
_NO_BODY = (204, 304)
_FIRST_ERROR_STATUS = 400
# A connection that has answered this many requests with errors is not reused,
# which bounds the ids that it holds.
MAX_FAILED_REQUESTS = 64


class NotSentError(errors.DispatchError):
    """Nothing was sent, so the request provably did not run."""


class AnswerLostError(errors.DispatchError):
    """The request was sent, but no complete answer to it arrived."""


class AnswerLateError(AnswerLostError):
    """No complete answer arrived within the timeout."""


class AnswerTooLargeError(AnswerLostError):
    """The answer is larger than allowed; the request did run."""


class _AbandonedError(Exception):
    """Stops the parser within a segment, after its connection has failed."""


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    answer: asyncio.Future[http_messages.RawAnswer]
    is_own: Callable[[http_messages.RawAnswer], bool]
    limit_bytes: int
    timer: asyncio.TimerHandle


class Connection(asyncio.Protocol):
    """A connection that carries one request at a time.

    Args:
        on_discarded: Called with each answer that belongs to no pending
            request, and with None for bytes that arrive while no request is
            pending.
        memory: Bounds the answers that connections are receiving; None: no
            bound but that on each answer.

    Attributes:
        idle_since_s: Event loop time at which the last answer ended.
        keep_alive_s: Idle timeout from the last Keep-Alive header of the
            server; None if the last answer had none.
        failed_requests: Ids of the requests that were answered with an error
            here. A repeat under the same id must use another connection: the
            server may send that error a second time, when the next request has
            arrived, and the id would not tell it from the answer to the repeat.
    """

    def __init__(
        self,
        on_discarded: Callable[[http_messages.RawAnswer | None], None]
        | None = None,
        memory: answer_memory.AnswerMemory | None = None,
    ) -> None:
        self._memory = memory
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None
        self.failed_requests: set[str] = set()
        self._on_discarded = on_discarded
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._pending: _PendingRequest | None = None
        self._reusable = True
        self._closed = False
        self._is_answered = False
        # Bytes received until the head was complete, or slightly more.
        self._head_bytes = 0
        self._skipped_answers = 0
        # Small chunks would take many times their size in a list.
        self._body = bytearray()
        # Sizes of the body at which it is first, and next, compared with the
        # limits.
        self._first_check_bytes = answer_memory.UNCOUNTED_BYTES
        self._checked_up_to_bytes = 0
        # Whether `memory` counts the body.
        self._is_counted = False
        self._begin_message()

    # ---- asyncio.Protocol ------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        # The transports of uvloop are not subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._pending is None:
            # No request is pending, so these bytes belong to none.
            if not self._closed:
                self._discard(None)
            self.close()
            return
        if self._headers_done:
            self._bytes_after_head += len(data)
        else:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"sent invalid HTTP ({error})")
        except httptools.HttpParserUpgrade:
            self._fail("switched to another protocol")
        if not self._headers_done:
            if self._head_bytes > _MAX_HEADERS_BYTES:
                self._fail_by_head_size()
        elif self._bytes_after_head > self._body_bytes:
            self._limit_framing()

    def eof_received(self) -> bool:
        """Ends an answer without a length, or fails the pending request."""
        if self._pending is not None and self._ends_with_connection():
            self.on_message_complete()
        self._fail("closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the pending request, if there is one."""
        self._closed = True
        self._fail(f"reset the connection ({exc!r})")

    # ---- callbacks of the parser -----------------------------------------

    def on_message_begin(self) -> None:
        """Starts an answer."""
        if self._closed:
            raise _AbandonedError
        if self._message_done:
            # A second answer follows the first one.
            self._reusable = False
        if self._headers_done:
            self._begin_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Appends a header; trailer fields, after the body, are dropped.

        They must not pass for headers (RFC 9110, 6.5.1), which say whether the
        request has run.
        """
        if self._headers_done:
            return
        lowered = header_names.LOWERED[name]
        self._headers.append((lowered, value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Marks the headers as complete and stores the status."""
        self._headers_done = True
        if self._head_bytes > _MAX_HEADERS_BYTES:
            # Bytes of the body may have arrived with the head.
            size = sum(len(name) + len(value) for name, value in self._headers)
            if size > _MAX_HEADERS_BYTES:
                self._fail_by_head_size()
        self._head_bytes = 0
        self._status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body, within the size limit."""
        if self._closed:
            raise _AbandonedError
        self._body += body
        self._body_bytes += len(body)
        if self._body_bytes > self._checked_up_to_bytes:
            self._limit_body()

    def on_message_complete(self) -> None:
        """Ends an answer."""
        if self._closed:
            return
        self._message_done = True
        if self._status < 200:
            # An informational answer such as 100 Continue; the final answer
            # follows.
            self._message_done = False
            self._skip_answer()
            return
        if not self._parser.should_keep_alive():
            self._reusable = False
        answer = http_messages.RawAnswer(
            self._status,
            tuple(self._headers),
            bytes(self._body),
            not self._is_answered,
        )
        self._is_answered = True
        pending = self._pending
        if pending is None or pending.answer.done():
            self._discard(answer)
            return
        if not pending.is_own(answer):
            # The late answer to an earlier request; the answer to the pending
            # one may still follow.
            self._discard(answer)
            self._skip_answer()
            return
        self.keep_alive_s = http_messages.keep_alive_of(answer)
        pending.answer.set_result(answer)

    # ---- requests --------------------------------------------------------

    @property
    def usable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return self._reusable and not self._closed and self._pending is None

    async def exchange(
        self,
        request: bytes,
        is_own: Callable[[http_messages.RawAnswer], bool],
        limit_bytes: int,
        timeout_s: float,
        request_id: str = "",
    ) -> http_messages.RawAnswer:
        """Sends a request and waits for its answer.

        Cancellation closes the connection, which signals to the server that the
        answer is no longer awaited.

        Args:
            request: The encoded request.
            is_own: Returns whether an answer belongs to this request.
            limit_bytes: Maximum size of the answer's body.
            timeout_s: Time limit for receiving the complete answer.
            request_id: The id that `is_own` compares, if repeats of the request
                bear the same one.

        Raises:
            NotSentError: The connection was already closed or in use.
            AnswerLateError: The request was sent, but its answer was not
                complete within the timeout.
            AnswerTooLargeError: The answer's body is larger than `limit_bytes`.
            AnswerLostError: The request was sent, but no complete answer
                arrived.
        """
        unusable = not self._reusable or self._closed
        if unusable or self._pending is not None or self._transport is None:
            raise NotSentError("the connection was closed; nothing was sent.")
        loop = self._loop
        self._head_bytes = 0
        self._skipped_answers = 0
        self._first_check_bytes = answer_memory.UNCOUNTED_BYTES
        if limit_bytes < answer_memory.UNCOUNTED_BYTES:
            self._first_check_bytes = limit_bytes
        self._begin_message()
        pending = self._pending = _PendingRequest(
            loop.create_future(),
            is_own,
            limit_bytes,
            loop.call_later(timeout_s, self._on_timeout, timeout_s),
        )
        self._transport.write(request)
        try:
            answer = await pending.answer
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            pending.timer.cancel()
            self._pending = None
            if self._is_counted:
                self._release_memory()
        self.idle_since_s = loop.time()
        if request_id and answer.status >= _FIRST_ERROR_STATUS:
            self._record_failed(request_id)
        if self._transport.get_write_buffer_size() > 0:
            # The server answered before it had received the whole request. It
            # would parse the rest of the body as the start of the next request.
            self.close()
        return answer

    def close(self) -> None:
        """Closes the connection; a pending request fails."""
        self._reusable = False
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    def _begin_message(self) -> None:
        self._status = 0
        self._headers: list[tuple[str, str]] = []
        self._headers_done = False
        if self._is_counted:
            self._release_memory()
        del self._body[:]
        self._body_bytes = 0
        self._checked_up_to_bytes = self._first_check_bytes
        # Bytes of segments received after the head was complete.
        self._bytes_after_head = 0
        self._message_done = False

    def _record_failed(self, request_id: str) -> None:
        self.failed_requests.add(request_id)
        if len(self.failed_requests) >= MAX_FAILED_REQUESTS:
            self._reusable = False

    def _discard(self, answer: http_messages.RawAnswer | None) -> None:
        """Drops an answer, or bytes, and stops the reuse of the connection."""
        self._reusable = False
        if self._on_discarded is not None:
            self._on_discarded(answer)

    def _skip_answer(self) -> None:
        """Counts an answer that is not the awaited one."""
        self._skipped_answers += 1
        if self._skipped_answers > _MAX_SKIPPED_ANSWERS:
            self._fail(f"sent more than {_MAX_SKIPPED_ANSWERS} other answers")

    def _limit_body(self) -> None:
        """Fails an answer whose body is too large, and counts a large one."""
        pending = self._pending
        if pending is None:
            return
        if self._body_bytes > pending.limit_bytes:
            self._fail(
                f"sent a body of more than {pending.limit_bytes} bytes",
                AnswerTooLargeError,
            )
            return
        self._checked_up_to_bytes = min(
            self._body_bytes + answer_memory.UNCOUNTED_BYTES,
            pending.limit_bytes,
        )
        if self._memory is not None:
            self._is_counted = True
            self._memory.update(self, self._body_bytes)

    def give_up_answer(self, held_bytes: int, capacity_bytes: int) -> None:
        """Fails the pending request; all answers together are too large."""
        self._is_counted = False
        self._fail(
            f"sent {held_bytes} bytes of a body, while all incomplete answers "
            f"together exceeded {capacity_bytes} bytes,",
            AnswerTooLargeError,
        )
        del self._body[:]

    def _release_memory(self) -> None:
        """Ends the count of the body, and drops it."""
        assert self._memory is not None
        self._is_counted = False
        self._memory.release(self)
        del self._body[:]

    def _limit_framing(self) -> None:
        """Fails an answer that consists of much more than its body."""
        framing_bytes = self._bytes_after_head - self._body_bytes
        allowed = self._body_bytes // _BODY_BYTES_PER_FRAMING_BYTE
        if framing_bytes > _MAX_HEADERS_BYTES + allowed:
            self._fail(f"sent {framing_bytes} bytes around the body")

    def _fail_by_head_size(self) -> None:
        self._fail(f"sent more than {_MAX_HEADERS_BYTES} bytes of headers")

    def _ends_with_connection(self) -> bool:
        if not self._headers_done or self._message_done:
            return False
        names = {name for name, _ in self._headers}
        framed = {"content-length", "transfer-encoding"} & names
        return not framed and self._status not in _NO_BODY

    def _on_timeout(self, timeout_s: float) -> None:
        """Fails the pending request and closes the connection."""
        pending = self._pending
        if pending is not None and not pending.answer.done():
            pending.answer.set_exception(
                AnswerLateError(
                    f"no complete answer arrived within {timeout_s:.3f} s; the "
                    f"request may have run."
                )
            )
        self.close()

    def _fail(
        self, what: str, kind: type[AnswerLostError] = AnswerLostError
    ) -> None:
        self._reusable = False
        pending = self._pending
        if pending is not None and not pending.answer.done():
            pending.answer.set_exception(
                kind(
                    f"the server {what} before the answer to the request "
                    f"was complete; the request may have run."
                )
            )
        if not self._closed:
            self.close()
