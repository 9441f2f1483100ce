"""HTTP ports on which a node relays requests, without a server library.

Nearly all of a node's CPU time goes into relayed requests. A general ASGI
server turns each request into a task, a dictionary and several messages before
the node's own code runs, and serves only one request of a connection at a time.
Here the connection builds a `Request` directly from the output of the parser
(`httptools`, which the server library uses too) and writes one `Response`. With
the server library, relaying a request took 550 to 620 function calls and
0.35 ms; see docs/design/data-path.md for the current figures.

Pipelined requests of a connection are served concurrently where they are safe
to repeat, and answered in request order. Served sequentially, three status
checks of 0.6 s each took 1.8 s, although none of them was slow.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from burdockfront import errors
from burdockfront import routes
from burdockfront_node.internal import http_connection
from burdockfront_node.internal import port_state

_BACKLOG = 1024


class Port:
    """HTTP server at one address.

    Args:
        handler: Answers the requests.
        address: `ip:port`.
        limits_of: Returns the limits on callers' requests now in effect; by
            default those of `routes.CallerLimits`.
        memory: What the port may use; by default a usual size.
    """

    def __init__(
        self,
        handler: port_state.Handler,
        address: str,
        limits_of: port_state.LimitsOf = routes.CallerLimits,
        memory: port_state.PortMemory | None = None,
    ):
        self._port = port_state.PortState(
            handler, limits_of, memory or port_state.PortMemory()
        )
        self._address = address
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Opens the port.

        Raises:
            SettingsError: The port can't be opened.
        """
        self._server = await listen(self._new_connection, self._address)

    @property
    def requests_open(self) -> int:
        """Number of requests that are read and not yet answered."""
        return sum(
            connection.requests_open for connection in self._port.connections
        )

    @property
    def unsent_bytes(self) -> list[int]:
        """Bytes of answers that the operating system has not taken over."""
        sizes = (
            connection.unsent_bytes for connection in self._port.connections
        )
        return [size for size in sizes if size]

    def close(self) -> None:
        """Stops accepting connections and closes each open one when idle."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._port.connections):
            connection.close_when_idle()

    def _new_connection(self) -> http_connection.Connection:
        return http_connection.Connection(self._port)


async def listen(
    protocol: Callable[[], asyncio.Protocol], address: str
) -> asyncio.Server:
    """Listens for connections at an address.

    Args:
        protocol: Creates the protocol of a new connection.
        address: `ip:port`.

    Raises:
        SettingsError: The port can't be opened.
    """
    host, _, port = address.rpartition(":")
    loop: Any = asyncio.get_running_loop()
    try:
        server: asyncio.Server = await loop.create_server(
            protocol, host.strip("[]"), int(port), backlog=_BACKLOG
        )
    except OSError as error:
        raise errors.SettingsError(
            f"can't listen at {address} ({error}); correct the address in "
            f"the settings, or stop the process that uses it."
        ) from None
    return server
