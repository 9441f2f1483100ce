"""ASGI servers in the daemon's own event loop, for ports with little traffic.

`internal.http_port` serves the ports on which requests are relayed.
"""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import Any

import uvicorn
from uvicorn import server as uvicorn_server
from uvicorn.protocols.http import httptools_impl

from burdockfront_client import sockets
from burdockfront_node.internal import http_port

_KEEP_ALIVE_S = 15


class Server(uvicorn.Server):
    """Uvicorn server that leaves signal handling to the daemon.

    Uvicorn would close all connections at SIGTERM; a planned stop must first
    announce the shutdown and finish the requests in flight.
    """

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no signal handlers."""
        yield


def create(app: Any, address: str) -> Server:
    """Returns a server for an ASGI application at `ip:port`."""
    return Server(_config(app, address))


class Protocol(httptools_impl.HttpToolsProtocol):
    """Uvicorn connection that detects a peer that has stopped answering."""

    def connection_made(self, transport: Any) -> None:
        """Sets the socket options that detect a dead connection."""
        super().connection_made(transport)
        sock = transport.get_extra_info("socket")
        sockets.enable_keepalive(sock)
        sockets.limit_unacknowledged(sock)


class Listener:
    """Serves an ASGI application without a task of its own.

    Uvicorn's server checks ten times per second whether it should exit. With
    several ports per node and many nodes, that causes many wake-ups for an
    event that happens once.

    Args:
        app: ASGI application.
        address: `ip:port`.
    """

    def __init__(self, app: Any, address: str):
        self._config = _config(app, address)
        self._address = address
        self._state = uvicorn_server.ServerState()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Opens the port.

        Raises:
            SettingsError: The port can't be opened.
        """
        self._config.load()
        self._server = await http_port.listen(
            self._new_connection, self._address
        )

    @property
    def requests_open(self) -> int:
        """Number of requests in flight."""
        return len(self._state.tasks)

    @property
    def unsent_bytes(self) -> list[int]:
        """Bytes of answers that the operating system has not taken over."""
        sizes = (
            connection.transport.get_write_buffer_size()
            for connection in self._state.connections
        )
        return [size for size in sizes if size]

    def close(self) -> None:
        """Stops accepting connections and closes each open one when idle."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._state.connections):
            connection.shutdown()

    def _new_connection(self) -> Protocol:
        return Protocol(
            config=self._config, server_state=self._state, app_state={}
        )


def _config(app: Any, address: str) -> uvicorn.Config:
    host, _, port = address.rpartition(":")
    return uvicorn.Config(
        app,
        host=host.strip("[]"),
        port=int(port),
        interface="asgi3",
        http=Protocol,
        ws="none",
        lifespan="off",
        access_log=False,
        log_config=None,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        timeout_keep_alive=_KEEP_ALIVE_S,
        timeout_graceful_shutdown=2,
    )
