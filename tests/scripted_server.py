"""A TCP server that sends scripted bytes, to simulate malformed answers."""

import asyncio
import dataclasses
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

_PAUSE_S = 0.05


@dataclasses.dataclass(slots=True)
class ScriptedServer:
    """Address of a scripted server, and the requests that it received.

    Attributes:
        address: `ip:port`.
        connections: Number of connections that were opened.
        requests: Heads of the received requests, in order.
        repeated_bytes: Number of bytes sent for `Step.repeated`.
    """

    address: str = ""
    connections: int = 0
    repeated_bytes: int = 0
    requests: list[bytes] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """The reaction to one request.

    Attributes:
        data: Bytes to send.
        then: What happens next: `keep`, `close` or `reset` the connection, or
            stop responding and leave it open (`hang`).
        late: Bytes that precede the reaction to the next request on this
            connection.
        repeated: Bytes that follow `data` until the other side closes the
            connection; empty: none.
        later: Bytes that follow `data` after a pause, while no request is
            pending.
    """

    data: bytes
    then: str = "keep"
    late: bytes = b""
    repeated: bytes = b""
    later: bytes = b""


@asynccontextmanager
async def serving(*steps: Step) -> AsyncIterator[ScriptedServer]:
    """Serves the steps in order, regardless of the requests."""
    scripted = ScriptedServer()
    remaining = list(steps)

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        scripted.connections += 1
        late = b""
        try:
            while remaining:
                head = await reader.readuntil(b"\r\n\r\n")
                scripted.requests.append(head)
                step = remaining.pop(0)
                writer.write(late + step.data)
                late = step.late
                await writer.drain()
                if step.later:
                    await asyncio.sleep(_PAUSE_S)
                    writer.write(step.later)
                while step.repeated:
                    writer.write(step.repeated)
                    scripted.repeated_bytes += len(step.repeated)
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
    scripted.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    try:
        yield scripted
    finally:
        server.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Closes the connection with a TCP reset instead of a FIN."""
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def an_answer(
    body: bytes, request_id: str, *headers: str, status: str = "200 OK"
) -> bytes:
    """Returns an encoded answer with a Content-Length header."""
    lines = [
        f"HTTP/1.1 {status}",
        f"Request-Id: {request_id}",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
