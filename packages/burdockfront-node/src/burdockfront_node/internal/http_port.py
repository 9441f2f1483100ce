"""The ports on which requests are relayed: HTTP without a server library.

Nearly all of a node's processor time goes into these requests. Between the
parser and the code that decides, a general server turns each of them into a
task, a dictionary and a handful of messages, and answers only one request of a
connection at a time. Here the connection itself makes a `Request` from what
the parser (`httptools`, that of the server library) finds, and writes one
`Response`. With its server library a node called 550 to 620 functions for a
relayed request, 0.35 ms; see docs/design/data-path.md for what it is now.

Requests that a caller sends before the first answer are served side by side
where that does no harm, and answered in their order. Served one after the
other, three status checks of 0.6 s took 1.8 s, though none of them was slow.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from burdockfront import errors
from burdockfront import routes
from burdockfront_node.internal import http_connection

_BACKLOG = 1024


class Port:
    """Serves the requests of one address.

    Args:
        handler: Who answers them.
        address: `ip:port`.
        limits_of: What callers may send now; the defaults without it.
    """

    def __init__(
        self,
        handler: http_connection.Handler,
        address: str,
        limits_of: http_connection.LimitsOf = routes.CallerLimits,
    ):
        self._serving = http_connection.Serving(handler, limits_of)
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
        """Requests that are being served."""
        return sum(known.requests_open for known in self._serving.connections)

    def close(self) -> None:
        """Takes no new connections, and ends each kept one when idle."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._serving.connections):
            connection.close_when_idle()

    def _new_connection(self) -> http_connection.Connection:
        return http_connection.Connection(self._serving)


async def listen(
    protocol: Callable[[], asyncio.Protocol], address: str
) -> asyncio.Server:
    """Opens a port for connections of a protocol.

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
            f"the settings, or end the process that has it."
        ) from None
    return server
