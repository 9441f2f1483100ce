"""Requests to peers are sent once, without implicit retries."""

import asyncio

import pytest

from burdockfront_client import peers as peers_lib

_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class _ClosingServer:
    """Answers the first request of a connection and aborts at the second."""

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
        writer.write(_ANSWER)
        await writer.drain()
        await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        writer.transport.abort()


async def _send_twice(method):
    closing = _ClosingServer()
    server = await closing.start()
    peers = peers_lib.Peers()
    arguments = (closing.address, method, "/", [], b"", 2.0, 1000)
    await peers.request(*arguments)
    with pytest.raises(peers_lib.LostAnswerError):
        await peers.request(*arguments)
    await peers.close()
    server.close()
    return closing.requests


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
def test_client_does_not_retry_implicitly(method):
    # The second request is sent, and then the connection is aborted. An HTTP
    # client that sends GET, PUT and DELETE again by itself would retry outside
    # the allowance, and run a confirmation by PUT twice.
    assert asyncio.run(_send_twice(method)) == 2
