"""HTTP servers inside the daemon's own event loop."""

import contextlib
from collections.abc import Iterator
from typing import Any

import uvicorn

_BACKLOG = 1024
_KEEP_ALIVE_S = 15


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
    host, _, port = address.rpartition(":")
    config = uvicorn.Config(
        app,
        host=host.strip("[]"),
        port=int(port),
        http="httptools",
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
    return Server(config)
