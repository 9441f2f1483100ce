"""HTTP servers inside the daemon's own event loop."""

import asyncio
import contextlib
import functools
import math
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any
from typing import cast

import uvicorn
from uvicorn import server as uvicorn_server
from uvicorn.protocols.http import httptools_impl

from burdockfront import errors
from burdockfront import routes
from burdockfront_client import sockets
from burdockfront_node.internal import asgi

_BACKLOG = 1024
_KEEP_ALIVE_S = 15

LimitsOf = Callable[[], routes.CallerLimits]


class Server(uvicorn.Server):
    """A server that leaves signals to the daemon.

    The library's own handling would close all connections at SIGTERM; a
    planned stop must first let everybody know and finish what runs.
    """

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Captures none."""
        yield


def create(app: Any, address: str) -> Server:
    """Returns a server for an ASGI application at `ip:port`."""
    return Server(_config(app, address))


class LimitedProtocol(httptools_impl.HttpToolsProtocol):
    """Connections of callers, with limits that may change while it runs.

    The library bounds neither the size of headers nor the time they take, so
    one slow or endless caller would hold memory for ever.
    """

    def __init__(self, limits_of: LimitsOf, **arguments: Any):
        super().__init__(**arguments)
        # The library accepts a further request behind one that asked to
        # close; nobody may smuggle one in there.
        self.parser.set_dangerous_leniencies(lenient_data_after_close=False)
        self._limits_of = limits_of
        self._head_bytes = 0
        self._in_head = False
        self._head_timer: asyncio.TimerHandle | None = None
        # One for each request that was begun and not answered yet; more than
        # one only where a caller sends the next before it has its answer.
        self._watches: list[asgi.CallerWatch] = []

    def connection_made(self, transport: Any) -> None:
        """Starts the idle time of a new connection."""
        super().connection_made(transport)
        sockets.watch_silence(transport.get_extra_info("socket"))
        self._wait_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops the timers, and the work for this caller."""
        self._stop_head_timer()
        self._unset_keepalive_if_required()
        super().connection_lost(exc)
        for watch in self._watches:
            watch.note_gone()
        self._watches.clear()

    def data_received(self, data: bytes) -> None:
        """Parses, and counts the bytes of unfinished headers."""
        before = self._in_head
        super().data_received(data)
        if self.transport.is_closing():
            return
        if not self._in_head:
            self._stop_head_timer()
            return
        self._head_bytes = self._head_bytes + len(data) if before else len(data)
        limits = self._limits_of()
        if self._head_bytes > limits.header_bytes:
            self._end(431, "The request headers are too large.")
        elif self._head_timer is None:
            self._head_timer = self.loop.call_later(
                limits.header_timeout_s, self._head_too_slow
            )

    def on_message_begin(self) -> None:
        """Begins a head."""
        self._in_head = True
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Ends a head, and starts its request unless it is too large."""
        self._in_head = False
        size_bytes = len(self.url) + sum(
            len(name) + len(value) + 4 for name, value in self.headers
        )
        if size_bytes > self._limits_of().header_bytes:
            self._end(431, "The request headers are too large.")
            return
        # Only the raw target can be passed on unchanged: the parsed parts
        # lose an empty query, for example.
        watch = asgi.CallerWatch()
        self._watches.append(watch)
        self.scope["extensions"] = {
            asgi.TARGET: {"raw": self.url},
            asgi.CALLER: {"watch": watch},
        }
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Takes a part of a body, unless its request was refused."""
        if not self.transport.is_closing():
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Ends a request, unless it was refused."""
        if not self.transport.is_closing():
            super().on_message_complete()
            # After a large body reading is paused, and nobody would see that
            # the caller closes the connection.
            self.flow.resume_reading()

    def on_response_complete(self) -> None:
        """Takes the idle time that is in force now."""
        if self._watches:
            self._watches.pop(0)
        self.timeout_keep_alive = math.ceil(self._limits_of().idle_timeout_s)
        super().on_response_complete()

    def _wait_idle(self) -> None:
        self.timeout_keep_alive_task = self.loop.call_later(
            self._limits_of().idle_timeout_s, self.timeout_keep_alive_handler
        )

    def _head_too_slow(self) -> None:
        self._end(408, "The request headers took too long.")

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _end(self, status: int, message: str) -> None:
        """Answers and closes; nothing of the request is passed on."""
        if self.transport.is_closing():
            return
        body = message.encode()
        self.transport.write(
            httptools_impl.STATUS_LINE[status]
            + b"content-type: text/plain; charset=utf-8\r\n"
            + b"connection: close\r\ncontent-length: %d\r\n\r\n" % len(body)
            + body
        )
        self.transport.close()


class Listener:
    """Serves an ASGI application, without a task of its own.

    The library's server looks ten times a second whether it should end. With
    several ports per node and many nodes that is a lot of waking up for a
    thing that happens once.

    Args:
        app: The application.
        address: `ip:port`.
        limits_of: What callers may send now; the defaults without it.
    """

    def __init__(
        self,
        app: Any,
        address: str,
        limits_of: LimitsOf = routes.CallerLimits,
    ):
        self._config = _config(app, address)
        self._address = address
        self._limits_of = limits_of
        self._state = uvicorn_server.ServerState()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Opens the port.

        Raises:
            SettingsError: The port can't be opened.
        """
        self._config.load()
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                self._new_connection,
                self._config.host,
                self._config.port,
                backlog=_BACKLOG,
            )
        except OSError as error:
            raise errors.SettingsError(
                f"can't listen at {self._address} ({error}); correct the "
                f"address in the settings, or end the process that has it."
            ) from None

    @property
    def requests_open(self) -> int:
        """Requests that are being served."""
        return len(self._state.tasks)

    def close(self) -> None:
        """Takes no new connections, and ends each kept one when idle."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._state.connections):
            connection.shutdown()

    def _new_connection(self) -> LimitedProtocol:
        return LimitedProtocol(
            self._limits_of,
            config=self._config,
            server_state=self._state,
            app_state={},
        )


def _config(app: Any, address: str) -> uvicorn.Config:
    host, _, port = address.rpartition(":")
    protocol = functools.partial(LimitedProtocol, routes.CallerLimits)
    return uvicorn.Config(
        app,
        host=host.strip("[]"),
        port=int(port),
        interface="asgi3",
        # The library calls it like the class that it wants.
        http=cast("type[asyncio.Protocol]", protocol),
        ws="none",
        lifespan="off",
        access_log=False,
        log_config=None,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        backlog=_BACKLOG,
        timeout_keep_alive=_KEEP_ALIVE_S,
        timeout_graceful_shutdown=2,
    )
