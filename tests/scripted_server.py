"""A server that sends exactly the bytes it is told to, for hostile answers."""

import asyncio
import dataclasses
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


@dataclasses.dataclass(slots=True)
class ScriptedServer:
    """What was asked of it, and where it listens.

    Attributes:
        address: `ip:port`.
        connections: How many connections were made.
        requests: Heads of the requests, in their order.
    """

    address: str = ""
    connections: int = 0
    requests: list[bytes] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One reaction to one request.

    Attributes:
        data: Bytes to send.
        then: `keep`, `close` or `reset` the connection, or say nothing more
            (`hang`).
    """

    data: bytes
    then: str = "keep"


@asynccontextmanager
async def serving(*steps: Step) -> AsyncIterator[ScriptedServer]:
    """Serves the steps in their order, whatever is asked."""
    served = ScriptedServer()
    left = list(steps)

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        served.connections += 1
        try:
            while left:
                head = await reader.readuntil(b"\r\n\r\n")
                served.requests.append(head)
                step = left.pop(0)
                writer.write(step.data)
                await writer.drain()
                if step.then == "reset":
                    _reset(writer)
                if step.then == "close":
                    writer.close()
                if step.then != "keep":
                    return
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            return

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    served.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    try:
        yield served
    finally:
        server.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Closes with a reset instead of an orderly end."""
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def an_answer(body: bytes, request_id: str, *headers: str) -> bytes:
    """Returns an answer with a length."""
    lines = [
        "HTTP/1.1 200 OK",
        f"Request-Id: {request_id}",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
