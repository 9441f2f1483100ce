"""Connections to peers: what is sent, and how often."""

import asyncio

import pytest

from burdockfront_client import peers as peers_lib

_WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class _ServerThatHangsUp:
    """Answers the first request of a connection, hangs up at the next."""

    def __init__(self):
        self.requests = 0
        self.address = ""

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return server

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        writer.write(_WHOLE)
        await writer.drain()
        await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        writer.transport.abort()


async def _send_twice(method):
    hanging = _ServerThatHangsUp()
    server = await hanging.start()
    peers = peers_lib.Peers()
    arguments = (hanging.address, method, "/", [], b"", 2.0, 1000)
    await peers.request(*arguments)
    with pytest.raises(peers_lib.LostAnswerError):
        await peers.request(*arguments)
    await peers.close()
    server.close()
    return hanging.requests


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
def test_library_does_not_retry_behind_our_back(method):
    # The second request is handed over, and the connection breaks. The HTTP
    # client would send GET, PUT and DELETE once more by itself: a retry that
    # no allowance knows of, and a confirmation by PUT that runs twice.
    assert asyncio.run(_send_twice(method)) == 2
