"""Minimal HTTP/1.1 for the stand-ins: a server, and one-shot requests.

Bodies have a length; chunked bodies are neither sent nor accepted, since no
stand-in here needs them.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable

_HEAD_LIMIT_BYTES = 65_536


@dataclasses.dataclass
class Request:
    """A request that was read whole."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass
class Response:
    """A whole response; header names are kept as given."""

    status: int
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""


Handler = Callable[[Request], Awaitable[Response | None]]


async def _read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return first, headers, body


def _encode(first: str, headers: dict[str, str], body: bytes) -> bytes:
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    head = f"{first}\r\n{fields}Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


class Server:
    """Serves one request at a time on each connection.

    A handler that returns None closes the connection without an answer. A
    handler is cancelled when its caller closes the connection.
    """

    def __init__(self, handler: Handler, address: str):
        self._handler = handler
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Opens the port."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port, limit=_HEAD_LIMIT_BYTES
        )

    def close(self) -> None:
        """Closes the port and aborts all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, target, _ = first.split(" ", 2)
                request = Request(method, target, headers, body)
                response = await self._answer(request, reader)
                if response is None:
                    return
                status = f"HTTP/1.1 {response.status} Status"
                writer.write(_encode(status, response.headers, response.body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        except asyncio.CancelledError:
            # The script ends; asyncio would log this as an error.
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(
        self, request: Request, reader: asyncio.StreamReader
    ) -> Response | None:
        """Runs the handler until it answers or the caller closes."""
        running = asyncio.ensure_future(self._handler(request))
        try:
            while not running.done():
                await asyncio.wait({running}, timeout=0.05)
                if reader.at_eof() or reader.exception() is not None:
                    return None
            return running.result()
        finally:
            running.cancel()


async def ask(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
    source_ip: str | None = None,
) -> Response:
    """Sends one request on a connection of its own.

    Raises:
        OSError: No connection, or it ended before the answer was complete.
        TimeoutError: No whole answer in time.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(
            host, int(port), local_addr=(source_ip, 0) if source_ip else None
        )
        try:
            first = f"{method} {target} HTTP/1.1"
            writer.write(_encode(first, {"Host": host, **headers}, body))
            status, received, answer = await _read_message(reader)
            return Response(int(status.split(" ")[1]), received, answer)
        except asyncio.IncompleteReadError as error:
            raise ConnectionResetError("closed before the answer") from error
        finally:
            writer.transport.abort()
