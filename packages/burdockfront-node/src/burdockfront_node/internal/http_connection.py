"""HTTP/1.1 server connection with pipelining; responses keep request order.

See `http_port` for why the node does not use a server library here.
"""

import asyncio
import collections
import dataclasses
import logging
from typing import cast

import httptools

from burdockfront import body_budget
from burdockfront import errors
from burdockfront_client import header_names
from burdockfront_client import http_messages
from burdockfront_client import sockets
from burdockfront_node.internal import idle_check
from burdockfront_node.internal import large_body
from burdockfront_node.internal import messages
from burdockfront_node.internal import port_state
from burdockfront_node.internal import request_head

_LOG = logging.getLogger(__name__)
# Limit on the requests of one connection that are read and not yet answered.
# Further requests stay in the socket buffers, so a caller can't exhaust the
# node's memory. Callers pipeline only a few requests. While reading is paused,
# the disconnect of a caller goes unnoticed.
_MAX_OPEN_REQUESTS = 32
# How long a caller has for reading a refusal while it sends.
_LINGER_S = 2.0


@dataclasses.dataclass(slots=True, eq=False)
class _PendingRequest:
    """A request that was read, and its response once it is available."""

    request: messages.Request
    keeps_alive: bool
    task: asyncio.Task[None] | None = None
    response: messages.Response | None = None
    is_rejected: bool = False


class Connection(asyncio.Protocol):
    """One connection of a caller.

    Args:
        port: State shared with the other connections of the port.
    """

    def __init__(self, port: port_state.PortState):
        self._port = port
        self._handler = port.handler
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        # By default the parser accepts a request after one with
        # `connection: close`, which would allow request smuggling.
        self._parser.set_dangerous_leniencies(lenient_data_after_close=False)
        self._transport: asyncio.Transport | None = None
        self._pending: collections.deque[_PendingRequest] = collections.deque()
        # Whether further requests are accepted, and whether reading is paused.
        self._accepts_requests = True
        self._reading_paused = False
        # Whether input is read and dropped, after a refusal.
        self._drops_input = False
        self._writable = True
        self._closes_when_idle = False
        # Whether the caller waits for 100 Continue before the body.
        self._expects_continue = False
        self._in_message = False
        self._in_head = False
        # Bytes received since the last request, or slightly more. Bytes of a
        # head that begins in the same segment as the end of that request are
        # not counted.
        self._head_bytes = 0
        self._head_shares_segment = False
        self._read_timer: asyncio.TimerHandle | None = None
        self._idle_check = idle_check.IdleCheck(self, port, self._loop)
        # The request that is being read.
        self._url = b""
        self._target = ""
        self._headers: list[tuple[str, str]] = []
        self._body: http_messages.Body = b""
        self._body_limit_bytes = 0
        # Size at which the body is compared with its limits next.
        self._check_at_bytes = 0
        self._large_body: large_body.LargeBody | None = None

    # ---- asyncio ---------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the idle timeout."""
        # Transports of uvloop are not subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        sockets.enable_keepalive(transport.get_extra_info("socket"))
        self._port.connections.add(self)
        self._idle_check.start()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the timers and the requests of this caller.

        The responses can't be delivered any more. Without the cancellation the
        work would continue through all layers until the deadline, at the worst
        possible time.
        """
        self._accepts_requests = False
        self._port.connections.discard(self)
        self._port.memory.unsent.remove(self)
        self._stop_read_timer()
        self._idle_check.stop()
        self._release_room()
        self._cancel_pending()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if not self._accepts_requests:
            return
        self._head_bytes += len(data)
        if not self._in_message:
            self._head_shares_segment = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is answered like any other, but the bytes after it
            # are not HTTP.
            self._stop_reading()
            if self._pending:
                self._pending[-1].keeps_alive = False
        except httptools.HttpParserError:
            self._reject(request_head.INVALID)
            return
        if self._in_message and self._accepts_requests:
            self._limit_reading()

    def pause_writing(self) -> None:
        """Pauses reading while the caller does not read its responses."""
        self._writable = False
        self._update_reading()
        self._port.memory.unsent.add(self)

    def resume_writing(self) -> None:
        """Resumes reading."""
        self._writable = True
        self._port.memory.unsent.remove(self)
        self._update_reading()

    # ---- parser ----------------------------------------------------------

    def on_message_begin(self) -> None:
        """Starts a new request."""
        self._url = b""
        self._target = ""
        self._headers = []
        self._body = b""
        self._expects_continue = False
        self._in_message = True
        self._in_head = True

    def on_url(self, url: bytes) -> None:
        """Adds a part of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        lowered = header_names.LOWERED[name]
        if lowered == "expect":
            self._expects_continue = value.lower() == b"100-continue"
        self._headers.append((lowered, value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Completes the head; one that is too large closes the connection."""
        self._in_head = False
        if self._read_timer is not None:
            # The body has a timeout of its own.
            self._stop_read_timer()
        large = self._head_bytes > self._port.limits_of().header_bytes
        if large or self._head_shares_segment:
            self._check_head_size()
        self._head_bytes = 0
        self._target = self._url.decode("latin-1")
        continues = self._expects_continue and not self._pending
        if continues and self._accepts_requests:
            assert self._transport is not None
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body."""
        if not self._accepts_requests:
            return
        if not self._body:
            self._body = body
            limit_bytes = self._handler.body_limit_bytes(self._target)
            self._body_limit_bytes = limit_bytes
            self._check_at_bytes = body_budget.UNRESERVED_BYTES
            if limit_bytes < body_budget.UNRESERVED_BYTES:
                self._check_at_bytes = limit_bytes
        else:
            if isinstance(self._body, bytes):
                self._body = bytearray(self._body)
            self._body += body
        if len(self._body) > self._check_at_bytes:
            self._check_body()

    def on_message_complete(self) -> None:
        """Completes a request and queues it for serving."""
        self._in_message = False
        self._head_bytes = 0
        self._head_shares_segment = True
        if not self._accepts_requests:
            return
        if self._read_timer is not None:
            self._stop_read_timer()
        parser = self._parser
        request = messages.Request(
            request_head.METHODS[parser.get_method()],
            self._target,
            tuple(self._headers),
            self._body,
        )
        if self._large_body is not None:
            try:
                self._large_body.hand_over_to(request)
            except messages.NoRoomError as error:
                self._refuse(error)
                return
            self._large_body = None
            self._update_reading()
        # The request holds the body; the connection may be idle for long.
        self._body = b""
        keeps_alive = parser.should_keep_alive()
        if keeps_alive and parser.get_http_version() == "1.0":
            # An HTTP/1.0 caller expects the response to confirm keep-alive,
            # which `messages.encode` does not do.
            keeps_alive = False
        queued = _PendingRequest(request, keeps_alive)
        self._pending.append(queued)
        unanswered = len(self._pending)
        if unanswered == 1:
            queued.task = self._loop.create_task(self._serve(queued))
            return
        if unanswered >= _MAX_OPEN_REQUESTS:
            self._update_reading()
        self._start_pending()

    # ---- serving ---------------------------------------------------------

    def close_when_idle(self) -> None:
        """Closes the connection once all requests read are answered."""
        self._closes_when_idle = True
        if not self._pending and not self._in_message:
            self.close()

    @property
    def requests_open(self) -> int:
        """Number of requests that are read and not yet answered."""
        return len(self._pending)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the operating system has not taken over."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or is not answered yet."""
        return bool(self._pending) or self._in_message

    def _start_pending(self) -> None:
        """Starts the first request and those that may run concurrently."""
        first = True
        for queued in self._pending:
            started = queued.task is not None or queued.response is not None
            if not started:
                if not first and not self._handler.may_overlap(queued.request):
                    return
                queued.task = self._loop.create_task(self._serve(queued))
            first = False

    async def _serve(self, queued: _PendingRequest) -> None:
        try:
            queued.response = await self._handler.serve(queued.request)
        except Exception:
            # It is unknown how far the request got. Closing the connection
            # without a response makes no claim about that.
            _LOG.exception("a request failed; its connection is closed")
            self.close()
            return
        self._write_responses()

    def _write_responses(self) -> None:
        """Writes the responses that are next in request order."""
        pending = self._pending
        if self._transport is None or self._transport.is_closing():
            return
        while pending and pending[0].response is not None:
            queued = pending.popleft()
            if queued.request.hold is not None:
                queued.request.hold.release()
            if not self._write_response(queued):
                if queued.is_rejected:
                    self._linger()
                else:
                    self.close()
                return
        if pending:
            self._start_pending()
        else:
            self._idle_check.idle_since_s = self._loop.time()
        if self._reading_paused:
            self._update_reading()

    def _write_response(self, queued: _PendingRequest) -> bool:
        """Writes one response; returns whether the connection stays open."""
        response = queued.response
        assert response is not None
        assert self._transport is not None
        closes = not queued.keeps_alive
        if (response.closes or self._closes_when_idle) and not self._pending:
            # If a later request is already running, closing now would cut it
            # off; its own response closes the connection then.
            closes = True
        head_only = queued.request.method == "HEAD"
        self._transport.writelines(messages.encode(response, head_only, closes))
        if not self._writable:
            self._port.memory.unsent.check()
        return not closes

    def _refuse(self, error: errors.InvalidInputError) -> None:
        """Refuses the request that is being read, whose head is complete."""
        if not self._accepts_requests:
            return
        self._port.memory.counters.bodies_refused += 1
        _LOG.warning(
            "a request body was refused",
            extra={"why": str(error), "read_bytes": len(self._body)},
        )
        self._reject(self._handler.refuse(error, self._head()))

    def _reject(self, response: messages.Response) -> None:
        """Queues the response to an invalid request and stops reading."""
        if not self._accepts_requests:
            return
        self._stop_reading()
        self._body = b""
        self._release_room()
        request = messages.Request("", "", (), b"")
        self._pending.append(
            _PendingRequest(request, False, response=response, is_rejected=True)
        )
        self._write_responses()

    # ---- reading ---------------------------------------------------------

    def _check_head_size(self) -> None:
        size_bytes = request_head.size_bytes(self._url, self._headers)
        if size_bytes > self._port.limits_of().header_bytes:
            self._reject(request_head.TOO_LARGE)

    def _head(self) -> messages.Request:
        """Returns the request that is being read, without its body."""
        method = request_head.METHODS[self._parser.get_method()]
        return messages.Request(method, self._target, tuple(self._headers), b"")

    def _check_body(self) -> None:
        """Compares a large body with its limit, and asks for room for it."""
        try:
            if self._large_body is None:
                self._large_body = self._new_large_body()
            self._check_at_bytes = self._large_body.ask(len(self._body))
        except messages.BodyTooLargeError as error:
            self._refuse(error)
            return
        if self._large_body is not None and self._large_body.waits:
            self._stop_read_timer()
            self._update_reading()

    def _new_large_body(self) -> large_body.LargeBody:
        head = self._head()
        return large_body.LargeBody(
            self._port.memory.bodies,
            head,
            self._body_limit_bytes,
            self._handler.body_wait_s(head),
            self._resume_body,
            self._refuse,
        )

    def _resume_body(self) -> None:
        """Reads on after a wait for room."""
        self._update_reading()
        self._limit_reading()

    def _release_room(self) -> None:
        """Frees the room of a body that is not read further."""
        if self._large_body is not None:
            unread, self._large_body = self._large_body, None
            unread.release()

    def _limit_reading(self) -> None:
        """Limits the size and read time of a request that is incomplete.

        Without these limits, a slow caller or an endless request would hold
        memory for ever.
        """
        if self._large_body is not None:
            if self._large_body.waits:
                return
            self._large_body.on_progress()
        limits = self._port.limits_of()
        if self._in_head and self._head_bytes > limits.header_bytes:
            self._reject(request_head.TOO_LARGE)
        elif self._read_timer is None:
            time_s = limits.header_timeout_s
            if not self._in_head:
                time_s = limits.idle_timeout_s
            self._read_timer = self._loop.call_later(
                time_s, self._on_read_timeout
            )

    def _on_read_timeout(self) -> None:
        self._read_timer = None
        if self._in_head:
            self._reject(request_head.TOO_SLOW)
            return
        limit_s = self._port.limits_of().idle_timeout_s
        self._refuse(messages.BodyTooSlowError(limit_s))

    def _stop_read_timer(self) -> None:
        if self._read_timer is not None:
            self._read_timer.cancel()
            self._read_timer = None

    def _stop_reading(self) -> None:
        self._accepts_requests = False
        self._stop_read_timer()
        self._update_reading()

    def _update_reading(self) -> None:
        """Pauses or resumes reading, by the room for requests and responses."""
        room = self._writable and len(self._pending) < _MAX_OPEN_REQUESTS
        if self._large_body is not None and self._large_body.waits:
            room = False
        paused = not (self._drops_input or (self._accepts_requests and room))
        if paused == self._reading_paused or self._transport is None:
            return
        self._reading_paused = paused
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def give_up_answers(self) -> None:
        """See `unsent_answers.Writer`."""
        _LOG.warning(
            "unsent answers exceed their memory; the oldest is given up",
            extra={"unsent_bytes": self.unsent_bytes},
        )
        self.abort()

    def abort(self) -> None:
        """Ends the connection at once, with the answers not taken yet."""
        self._accepts_requests = False
        if self._transport is not None:
            self._transport.abort()

    def _linger(self) -> None:
        """Closes the connection once the caller has had time for a refusal.

        It may still be sending the request. The rest is dropped: closing the
        connection with unread bytes resets it, and the caller might lose the
        refusal.
        """
        self._cancel_pending()
        assert self._transport is not None
        self._transport.write_eof()
        self._drops_input = True
        self._update_reading()
        self._loop.call_later(_LINGER_S, self._transport.close)

    def close(self) -> None:
        """Closes the connection behind the answers written so far."""
        self._accepts_requests = False
        self._body = b""
        self._release_room()
        if self._transport is not None:
            self._transport.close()
        self._cancel_pending()

    def _cancel_pending(self) -> None:
        current = asyncio.current_task(self._loop)
        for queued in self._pending:
            if queued.task is not None and queued.task is not current:
                queued.task.cancel()
            if queued.request.hold is not None:
                queued.request.hold.release()
        self._pending.clear()
