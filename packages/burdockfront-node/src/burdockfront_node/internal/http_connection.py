"""One connection of a caller: requests in, answers out, in their order.

See `http_port` for why no server library stands between the parser and the code
that decides.
"""

import asyncio
import collections
import dataclasses
import logging
from collections.abc import Callable
from typing import Protocol
from typing import cast

import httptools

from burdockfront import errors
from burdockfront import routes
from burdockfront_client import header_names
from burdockfront_client import sockets
from burdockfront_node.internal import messages

_LOG = logging.getLogger(__name__)
# Requests of one connection that are read before the first is answered. More
# wait in the buffers of the network, so a caller can't fill our memory. Callers
# send a handful ahead; while reading pauses nobody would see that one has gone.
_MAX_OPEN_REQUESTS = 32

LimitsOf = Callable[[], routes.CallerLimits]


class Handler(Protocol):
    """Who answers the requests of a port."""

    def body_limit_bytes(self, target: str) -> int:
        """Returns the largest body of a request to a target."""

    def may_overlap(self, request: messages.Request) -> bool:
        """Whether it may be served while earlier ones are not answered yet.

        Only if running it again does no harm: behind an answer that ends the
        connection a caller takes it for not read, and sends it once more.
        """

    async def serve(self, request: messages.Request) -> messages.Response:
        """Answers a request; cancelled when its caller has gone."""

    def refuse(self, error: errors.InvalidInputError) -> messages.Response:
        """Returns the answer to a request that was not read whole."""


@dataclasses.dataclass(slots=True)
class Serving:
    """What the connections of a port share.

    Attributes:
        handler: Who answers requests.
        limits_of: What callers may send now.
        connections: Those that are open.
    """

    handler: Handler
    limits_of: LimitsOf
    connections: "set[Connection]" = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True, eq=False)
class _Turn:
    """A request of a connection, and its answer once it is there."""

    request: messages.Request
    keeps_alive: bool
    task: asyncio.Task[None] | None = None
    response: messages.Response | None = None


class Connection(asyncio.Protocol):
    """One connection of a caller.

    Args:
        serving: What it shares with the others of its port.
    """

    def __init__(self, serving: Serving):
        self._serving = serving
        self._handler = serving.handler
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        # The parser would accept a further request behind one that asked to
        # close; nobody may smuggle one in there.
        self._parser.set_dangerous_leniencies(lenient_data_after_close=False)
        self._transport: asyncio.Transport | None = None
        self._turns: collections.deque[_Turn] = collections.deque()
        # Whether further requests are taken, and whether they are read now.
        self._reads = True
        self._paused = False
        self._may_write = True
        self._ends = False
        self._in_message = False
        self._in_head = False
        # Bytes that arrived since the last request, or a little more. Those
        # of a head behind it in the same segment are not among them.
        self._head_bytes = 0
        self._head_shares_segment = False
        self._read_timer: asyncio.TimerHandle | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._idle_since_s = 0.0
        self._begin_message()

    # ---- asyncio ---------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the idle time."""
        # The transports of uvloop are no subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        sockets.watch_silence(transport.get_extra_info("socket"))
        self._serving.connections.add(self)
        self._idle_since_s = self._loop.time()
        self._wait_idle(self._serving.limits_of().idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops the timers, and the work for this caller.

        Nobody waits for the answers any more. Without this the work would go
        on through all layers to the deadline, at the worst possible time.
        """
        self._reads = False
        self._serving.connections.discard(self)
        self._stop_read_timer()
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._drop_turns()

    def data_received(self, data: bytes) -> None:
        """Parses what arrives."""
        if not self._reads:
            return
        self._head_bytes += len(data)
        if not self._in_message:
            self._head_shares_segment = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # It is answered like any other request; what follows is not HTTP.
            self._stop_reading()
            if self._turns:
                self._turns[-1].keeps_alive = False
        except httptools.HttpParserError:
            self._end_with(_plain(400, "The request is not valid HTTP."))
            return
        if self._in_message and self._reads:
            self._bound_reading()

    def pause_writing(self) -> None:
        """Reads no more requests of a caller who does not read answers."""
        self._may_write = False
        self._pace_reading()

    def resume_writing(self) -> None:
        """Reads on."""
        self._may_write = True
        self._pace_reading()

    # ---- parser ----------------------------------------------------------

    def on_message_begin(self) -> None:
        """Begins a request."""
        self._begin_message()
        self._in_message = True
        self._in_head = True

    def on_url(self, url: bytes) -> None:
        """Takes a part of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        known = header_names.KNOWN.get(name) or header_names.lowered(name)
        self._headers.append((known, value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Ends a head; one that is too large ends the connection."""
        self._in_head = False
        if self._read_timer is not None:
            # The body has a time of its own.
            self._stop_read_timer()
        large = self._head_bytes > self._serving.limits_of().header_bytes
        if large or self._head_shares_segment:
            self._check_head_size()
        self._head_bytes = 0
        self._target = self._url.decode("latin-1")
        self._limit_bytes = self._handler.body_limit_bytes(self._target)
        if self._reads and self._wants_to_be_asked():
            assert self._transport is not None
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Takes a part of a body."""
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._limit_bytes and self._reads:
            error = messages.BodyTooLargeError(self._limit_bytes)
            self._end_with(self._handler.refuse(error))

    def on_message_complete(self) -> None:
        """Ends a request, and lets it be served."""
        self._in_message = False
        self._head_bytes = 0
        self._head_shares_segment = True
        if not self._reads:
            return
        if self._read_timer is not None:
            self._stop_read_timer()
        parser = self._parser
        request = messages.Request(
            parser.get_method().decode("latin-1"),
            self._target,
            tuple(self._headers),
            b"".join(self._body),
        )
        keeps_alive = parser.should_keep_alive()
        if keeps_alive and parser.get_http_version() == "1.0":
            # Such a caller would want to be told that it is kept open.
            keeps_alive = False
        self._turns.append(_Turn(request, keeps_alive))
        if len(self._turns) >= _MAX_OPEN_REQUESTS:
            self._pace_reading()
        self._start_turns()

    # ---- serving ---------------------------------------------------------

    def close_when_idle(self) -> None:
        """Ends it after the answers that are owed."""
        self._ends = True
        if not self._turns and not self._in_message:
            self._close()

    @property
    def requests_open(self) -> int:
        """Requests that were read and not answered."""
        return len(self._turns)

    def _start_turns(self) -> None:
        """Starts the first request, and those that may run beside it."""
        first = True
        for turn in self._turns:
            begun = turn.task is not None or turn.response is not None
            if not begun:
                if not first and not self._handler.may_overlap(turn.request):
                    return
                turn.task = self._loop.create_task(self._serve(turn))
            first = False

    async def _serve(self, turn: _Turn) -> None:
        try:
            turn.response = await self._handler.serve(turn.request)
        except Exception:
            # Nobody knows how far it came, so the connection just ends: that
            # promises nothing.
            _LOG.exception("a request failed; its connection is closed")
            self._close()
            return
        self._answer_in_order()

    def _answer_in_order(self) -> None:
        """Writes the answers that are due."""
        turns = self._turns
        if self._transport is None or self._transport.is_closing():
            return
        while turns and turns[0].response is not None:
            if not self._write_answer(turns.popleft()):
                self._close()
                return
        if turns:
            self._start_turns()
        else:
            self._idle_since_s = self._loop.time()
        if self._paused:
            self._pace_reading()

    def _write_answer(self, turn: _Turn) -> bool:
        """Writes one answer; returns whether the connection goes on."""
        response = turn.response
        assert response is not None
        assert self._transport is not None
        closes = not turn.keeps_alive
        if (response.closes or self._ends) and not self._turns:
            # With one behind it that runs already, closing would cut that
            # one off; its own answer closes then.
            closes = True
        head_only = turn.request.method == "HEAD"
        self._transport.write(messages.encode(response, head_only, closes))
        return not closes

    def _end_with(self, response: messages.Response) -> None:
        """Answers what can't be read, behind the answers that are owed."""
        if not self._reads:
            return
        self._stop_reading()
        request = messages.Request("", "", (), b"")
        self._turns.append(_Turn(request, False, response=response))
        self._answer_in_order()

    # ---- reading ---------------------------------------------------------

    def _begin_message(self) -> None:
        self._url = b""
        self._target = ""
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._limit_bytes = 0

    def _check_head_size(self) -> None:
        size_bytes = len(self._url) + sum(
            len(name) + len(value) + 4 for name, value in self._headers
        )
        if size_bytes > self._serving.limits_of().header_bytes:
            self._end_with(_plain(431, "The request headers are too large."))

    def _wants_to_be_asked(self) -> bool:
        """Whether the caller waits for a word before it sends the body."""
        if self._turns:
            return False
        for name, value in self._headers:
            if name == "expect":
                return value.lower() == "100-continue"
        return False

    def _bound_reading(self) -> None:
        """Bounds the size and time of a request that is not whole yet.

        One slow or endless caller would hold memory for ever.
        """
        limits = self._serving.limits_of()
        if self._in_head and self._head_bytes > limits.header_bytes:
            self._end_with(_plain(431, "The request headers are too large."))
        elif self._read_timer is None:
            time_s = limits.header_timeout_s
            if not self._in_head:
                time_s = limits.idle_timeout_s
            self._read_timer = self._loop.call_later(time_s, self._too_slow)

    def _too_slow(self) -> None:
        self._read_timer = None
        if self._in_head:
            self._end_with(_plain(408, "The request headers took too long."))
            return
        limit_s = self._serving.limits_of().idle_timeout_s
        error = messages.BodyTooSlowError(limit_s)
        self._end_with(self._handler.refuse(error))

    def _stop_read_timer(self) -> None:
        if self._read_timer is not None:
            self._read_timer.cancel()
            self._read_timer = None

    def _stop_reading(self) -> None:
        self._reads = False
        self._stop_read_timer()
        self._pace_reading()

    def _pace_reading(self) -> None:
        """Reads while there is room for requests and answers."""
        room = self._may_write and len(self._turns) < _MAX_OPEN_REQUESTS
        paused = not (self._reads and room)
        if paused == self._paused or self._transport is None:
            return
        self._paused = paused
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _wait_idle(self, time_s: float) -> None:
        self._idle_timer = self._loop.call_later(time_s, self._check_idle)

    def _check_idle(self) -> None:
        """Closes a connection that was idle for the time in force now.

        It looks again when the rest of that time has passed. A timer for
        each request would be started and stopped thousands of times for one
        that fires.
        """
        idle_timeout_s = self._serving.limits_of().idle_timeout_s
        if self._turns or self._in_message:
            self._wait_idle(idle_timeout_s)
            return
        left_s = self._idle_since_s + idle_timeout_s - self._loop.time()
        if left_s > 0.0:
            self._wait_idle(left_s)
        else:
            self._close()

    def _close(self) -> None:
        self._reads = False
        if self._transport is not None:
            self._transport.close()
        self._drop_turns()

    def _drop_turns(self) -> None:
        current = asyncio.current_task(self._loop)
        for turn in self._turns:
            if turn.task is not None and turn.task is not current:
                turn.task.cancel()
        self._turns.clear()


def _plain(status: int, message: str) -> messages.Response:
    headers = (("content-type", "text/plain; charset=utf-8"),)
    return messages.Response(status, headers, message.encode())
