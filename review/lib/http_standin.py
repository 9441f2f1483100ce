"""Small HTTP/1.1 server and client for stand-ins. Standard library only."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Request:
    method: str
    target: str
    headers: list
    body: bytes

    def header(self, name):
        for key, value in self.headers:
            if key == name:
                return value
        return None


@dataclasses.dataclass
class Response:
    status: int
    headers: list = dataclasses.field(default_factory=list)
    body: bytes = b""
    closes: bool = False

    def header(self, name):
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return first, headers


def header_of(headers, name, default=None):
    for key, value in headers:
        if key == name:
            return value
    return default


async def read_body(reader, headers, until_end=False):
    if header_of(headers, "transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    length = header_of(headers, "content-length")
    if length is not None:
        return await reader.readexactly(int(length))
    return await reader.read() if until_end else b""


def encode_response(response):
    lines = [f"HTTP/1.1 {response.status} -"]
    lines += [f"{name}: {value}" for name, value in response.headers]
    lines.append(f"Content-Length: {len(response.body)}")
    if response.closes:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + response.body


class HttpServer:
    """One request at a time on a connection; a request whose connection closes
    is dropped."""

    def __init__(self, address):
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.address = address
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=512
        )

    async def close(self):
        """Ends at once: the port closes, and so do all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def handle(self, request):
        raise NotImplementedError

    def on_request_read(self, connection, request, writer):
        """Called when a request has been read, before it is handled.

        `connection` is a dictionary that belongs to the connection.
        """

    def on_response_written(self, connection, request, response):
        """Called when a response has been written whole."""

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        connection = {}
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                request = Request(method, target, headers, body)
                self.on_request_read(connection, request, writer)
                work = asyncio.ensure_future(self.handle(request))
                gone = asyncio.ensure_future(_until_closed(reader))
                await asyncio.wait(
                    {work, gone}, return_when=asyncio.FIRST_COMPLETED
                )
                gone.cancel()
                if not work.done():
                    work.cancel()
                    return
                response = work.result()
                writer.write(encode_response(response))
                await writer.drain()
                self.on_response_written(connection, request, response)
                if response.closes:
                    return
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
            OSError,
        ):
            return
        finally:
            self.writers.discard(writer)
            writer.close()


async def _until_closed(reader):
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)


class ClientConnection:
    """A connection of a client; it may be kept for many requests."""

    def __init__(self, address, source=None, receive_bytes=None):
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.host, self.port), 1.0
        )

    @property
    def is_open(self):
        return (
            self.writer is not None
            and not self.writer.is_closing()
            and not self.reader.at_eof()
        )

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def write(self, method, target, headers, body=b""):
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        self.writer.write(head + body)
        await self.writer.drain()

    async def read(self):
        first, headers = await read_head(self.reader)
        status = int(first.split(" ")[1])
        body = await read_body(self.reader, headers, until_end=True)
        return Response(status, headers, body)
