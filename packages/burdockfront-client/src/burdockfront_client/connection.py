"""HTTP/1.1 client connection to a server that may misbehave.

Backend servers send answers late or twice, append bytes, close the connection
in the middle of an answer, or answer before they have read the request. Bytes
that arrive on a reused connection must never be mistaken for the answer to the
pending request. General HTTP clients pass such bytes to the next request,
because HTTP/1.1 answers carry no request id. Here the pending request decides
whether an answer is its own. Any other answer is dropped, and the connection on
which it arrived is not reused.

`answer_assembly` parses the answers.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import cast

from burdockfront import errors
from burdockfront_client import answer_assembly
from burdockfront_client import answer_memory
from burdockfront_client import http_messages
from burdockfront_client import sockets

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


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    answer: asyncio.Future[http_messages.RawAnswer]
    is_own: Callable[[http_messages.RawAnswer], bool]
    timer: asyncio.TimerHandle


class Connection(asyncio.Protocol):
    """A connection that carries one request at a time.

    Args:
        on_discarded: Called with each answer that belongs to no pending
            request, and with None for bytes that arrive while no request is
            pending and do not begin with the head of an answer.
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
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None
        self.failed_requests: set[str] = set()
        self._on_discarded = on_discarded
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._assembler = answer_assembly.AnswerAssembler(
            self._on_answer, self._on_assembly_failure, memory
        )
        self._pending: _PendingRequest | None = None
        self._reusable = True
        self._closed = False
        self._discarded = 0
        self._limits_unacknowledged = True

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
                self._discard_unawaited(data)
            self.close()
            return
        self._assembler.feed(data)

    def pause_writing(self) -> None:
        """Gives the server time for a request that exceeds its buffers.

        A server may read slowly. The limit on unacknowledged data would end
        the connection in the middle of the request.
        """
        self._limit_unacknowledged(False)

    def eof_received(self) -> bool:
        """Ends an answer without a length, or fails the pending request."""
        if self._pending is not None:
            self._assembler.end()
        self._fail("closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the pending request, if there is one."""
        self._closed = True
        self._fail(f"reset the connection ({exc!r})")

    # ---- answers ---------------------------------------------------------

    def _on_answer(self, answer: http_messages.RawAnswer) -> bool:
        """Passes an answer to the pending request, if it is its own."""
        pending = self._pending
        if pending is None or pending.answer.done():
            self._discard(answer)
            return False
        if not pending.is_own(answer):
            # The late answer to an earlier request; the answer to the pending
            # one may still follow.
            self._discard(answer)
            return False
        self.keep_alive_s = http_messages.keep_alive_of(answer)
        pending.answer.set_result(answer)
        return True

    def _on_assembly_failure(self, what: str, too_large: bool) -> None:
        self._fail(what, AnswerTooLargeError if too_large else AnswerLostError)

    # ---- requests --------------------------------------------------------

    @property
    def usable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return (
            self._reusable
            and self._assembler.keeps_alive
            and not self._closed
            and self._pending is None
        )

    async def exchange(
        self,
        request: http_messages.Encoded,
        is_own: Callable[[http_messages.RawAnswer], bool],
        limit_bytes: int,
        timeout_s: float,
        request_id: str = "",
    ) -> http_messages.RawAnswer:
        """Sends a request and waits for its answer.

        Cancellation closes the connection, which signals to the server that the
        answer is no longer awaited.

        Args:
            request: The parts of the encoded request.
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
        if not self.usable or self._transport is None:
            raise NotSentError("the connection was closed; nothing was sent.")
        loop = self._loop
        self._assembler.begin(limit_bytes)
        pending = self._pending = _PendingRequest(
            loop.create_future(),
            is_own,
            loop.call_later(timeout_s, self._on_timeout, timeout_s),
        )
        self._transport.writelines(request)
        try:
            answer = await pending.answer
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            pending.timer.cancel()
            self._pending = None
            self._assembler.release_body()
        self.idle_since_s = loop.time()
        if request_id and answer.status >= _FIRST_ERROR_STATUS:
            self._record_failed(request_id)
        if self._transport.get_write_buffer_size() > 0:
            # The server answered before it had received the whole request. It
            # would parse the rest of the body as the start of the next request.
            self.close()
        elif not self._limits_unacknowledged:
            self._limit_unacknowledged(True)
        return answer

    def close(self) -> None:
        """Closes the connection; a pending request fails."""
        self._reusable = False
        self._closed = True
        self._assembler.abandon()
        if self._transport is not None:
            self._transport.abort()

    def _limit_unacknowledged(self, is_limited: bool) -> None:
        self._limits_unacknowledged = is_limited
        if self._transport is not None and not self._closed:
            sock = self._transport.get_extra_info("socket")
            sockets.limit_unacknowledged(sock, is_limited)

    def _record_failed(self, request_id: str) -> None:
        self.failed_requests.add(request_id)
        if len(self.failed_requests) >= MAX_FAILED_REQUESTS:
            self._reusable = False

    def _discard_unawaited(self, data: bytes) -> None:
        """Drops bytes that arrive while no request is pending.

        If they begin with the head of an answer, it is passed on: its id and
        status show which request the server has answered once more.
        """
        before = self._discarded
        self._assembler.feed(data)
        if self._discarded == before:
            self._discard(self._assembler.incomplete_answer())

    def _discard(self, answer: http_messages.RawAnswer | None) -> None:
        """Drops an answer, or bytes, and stops the reuse of the connection."""
        self._reusable = False
        self._discarded += 1
        if self._on_discarded is not None:
            self._on_discarded(answer)

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
