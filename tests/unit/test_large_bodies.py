"""Large bodies are held once, from the caller's connection to the next one."""

import asyncio
import tracemalloc

import pytest

from burdockfront import body_budget
from burdockfront_bench import ports
from burdockfront_bench.standins import plain_handler
from burdockfront_client import http_messages
from burdockfront_node.internal import http_port
from burdockfront_node.internal import messages
from burdockfront_node.internal import port_state

_BODY_BYTES = 8_000_000
_HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"
# Room that a growing buffer has in reserve, and what else is allocated.
_RESERVE = 1.3


class _Measuring(plain_handler.PlainHandler):
    """Notes what is allocated while it has a request, and the most before."""

    def __init__(self) -> None:
        self.held_bytes = 0
        self.most_bytes = 0

    def body_limit_bytes(self, target: str) -> int:
        return _BODY_BYTES

    async def serve(self, request: messages.Request) -> messages.Response:
        assert len(request.body) == _BODY_BYTES
        self.held_bytes, self.most_bytes = tracemalloc.get_traced_memory()
        return messages.Response(200)


class _Echo(plain_handler.PlainHandler):
    async def serve(self, request: messages.Request) -> messages.Response:
        return messages.Response(200)


def test_upload_is_held_once_and_not_by_an_idle_connection():
    """Guards against bodies that take several times their size."""

    async def scenario() -> None:
        handler = _Measuring()
        port_number = ports.free_ports(1)[0]
        port = http_port.Port(handler, f"127.0.0.1:{port_number}")
        await port.open()
        body = bytes(_BODY_BYTES)
        reader, writer = await asyncio.open_connection("127.0.0.1", port_number)
        writer.write(_HEAD % _BODY_BYTES)
        await writer.drain()
        tracemalloc.start()
        for start in range(0, _BODY_BYTES, 100_000):
            writer.write(body[start : start + 100_000])
            await writer.drain()
        await reader.readuntil(b"\r\n\r\n")
        after_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert handler.held_bytes < _RESERVE * _BODY_BYTES
        assert handler.most_bytes < _RESERVE * _BODY_BYTES
        assert after_bytes < _BODY_BYTES / 10, "the connection is idle"
        writer.close()
        port.close()

    asyncio.run(scenario())


def test_large_bodies_are_written_without_a_copy():
    body = bytearray(_BODY_BYTES)
    request = http_messages.encode_request("POST", "/", "a", (), body)
    assert request[1] is body
    answer = bytes(_BODY_BYTES)
    parts = messages.encode(messages.Response(200, (), answer), False, False)
    assert parts[1] is answer


def test_small_bodies_are_written_with_their_head():
    request = http_messages.encode_request("POST", "/", "a", (), b"small")
    assert len(request) == 1
    assert bytes(request[0]).endswith(b"\r\n\r\nsmall")
    response = messages.Response(200, (), b"small")
    assert len(messages.encode(response, False, False)) == 1


def _in_chunks(body: bytes) -> bytes:
    pieces = [
        body[start : start + 10_000] for start in range(0, len(body), 10_000)
    ]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in pieces)
    head = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
    return head + chunks + b"0\r\n\r\n"


@pytest.mark.parametrize("chunked", [False, True])
def test_body_that_ends_while_it_waits_is_served(chunked: bool):
    """Guards against a refusal of a body that was read before it could wait."""

    async def scenario() -> None:
        port_number = ports.free_ports(1)[0]
        bodies = body_budget.BodyBudget(capacity_bytes=200_000)
        port = http_port.Port(
            _Echo(),
            f"127.0.0.1:{port_number}",
            memory=port_state.PortMemory(bodies),
        )
        await port.open()
        first = bodies.open(lambda: None, lambda: None, 0.0)
        bodies.ask(first, 190_000, 0.0)
        bodies.complete(first, 190_000)
        body = b"x" * 150_000
        request = _in_chunks(body) if chunked else _HEAD % len(body) + body
        reader, writer = await asyncio.open_connection("127.0.0.1", port_number)
        await asyncio.sleep(0.05)
        (connection,) = port._port.connections
        for _ in range(2):
            # All bytes at once, which a socket does not guarantee.
            connection.data_received(request)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
        assert bodies.waited > 0
        assert bodies.used_bytes == 190_000, "the others are free again"
        writer.close()
        port.close()

    asyncio.run(scenario())
