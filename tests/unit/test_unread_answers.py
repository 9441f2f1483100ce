"""Peers that take no bytes for a while, at the sockets of this process."""

import asyncio
import contextlib
import socket

from burdockfront import routes
from burdockfront_bench import ports
from burdockfront_bench.standins import plain_handler
from burdockfront_client import pool as pool_lib
from burdockfront_node.internal import http_port
from burdockfront_node.internal import messages
from burdockfront_node.internal import port_state
from burdockfront_node.internal import unsent_answers

_IDLE_TIMEOUT_S = 0.2
_LARGE_BYTES = 12_000_000
# Longer than the limit on unacknowledged data.
_PAUSE_S = 4.0
_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"


class _LargeAnswers(plain_handler.PlainHandler):
    async def serve(self, request: messages.Request) -> messages.Response:
        return messages.Response(200, (), bytes(_LARGE_BYTES))


def _limits() -> routes.CallerLimits:
    return routes.CallerLimits(idle_timeout_s=_IDLE_TIMEOUT_S)


def test_caller_that_takes_nothing_is_ended_and_counted():
    """Guards against answers that hold memory for as long as a caller lives."""

    async def scenario() -> None:
        memory = port_state.PortMemory()
        address = f"127.0.0.1:{ports.free_ports(1)[0]}"
        port = http_port.Port(_LargeAnswers(), address, _limits, memory)
        await port.open()
        caller = socket.create_connection(("127.0.0.1", int(address[10:])))
        caller.sendall(_REQUEST)
        async with asyncio.timeout(10.0):
            while not memory.counters.answers_unread:
                await asyncio.sleep(0.01)
        assert port.unsent_bytes == []
        caller.close()
        port.close()

    asyncio.run(scenario())


def test_caller_that_reads_slowly_gets_its_answer():
    """Guards against an end of connections that do make progress."""

    async def scenario() -> int:
        memory = port_state.PortMemory()
        address = f"127.0.0.1:{ports.free_ports(1)[0]}"
        port = http_port.Port(_LargeAnswers(), address, _limits, memory)
        await port.open()
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", int(address[10:])
        )
        writer.write(_REQUEST)
        await reader.readuntil(b"\r\n\r\n")
        received = 0
        while received < _LARGE_BYTES:
            received += len(await reader.read(500_000))
            await asyncio.sleep(_IDLE_TIMEOUT_S / 10)
        writer.close()
        port.close()
        assert memory.counters.answers_unread == 0
        return received

    assert asyncio.run(scenario()) == _LARGE_BYTES


def test_request_outlasts_a_pause_of_the_server_that_reads_it():
    """Guards against a request broken off as its server has no room."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(_PAUSE_S)
        await reader.readexactly(_LARGE_BYTES)
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

    async def scenario() -> int:
        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1_000)
        port = server.sockets[0].getsockname()[1]
        pool = pool_lib.Pool(f"127.0.0.1:{port}")
        answer = await pool.exchange(
            (bytes(_LARGE_BYTES),), lambda _: True, 1_000, False, 20.0
        )
        pool.close_idle()
        server.close()
        return answer.status

    assert asyncio.run(scenario()) == 200


def test_oldest_unsent_answer_is_given_up_for_the_memory_of_all():
    """Guards against a process killed for answers that nobody reads."""

    async def scenario() -> None:
        unsent = unsent_answers.UnsentAnswers(2 * _LARGE_BYTES)
        number = ports.free_ports(1)[0]
        port = http_port.Port(
            _LargeAnswers(),
            f"127.0.0.1:{number}",
            memory=port_state.PortMemory(unsent=unsent),
        )
        await port.open()
        callers = []
        for _ in range(5):
            caller = socket.create_connection(("127.0.0.1", number))
            caller.sendall(_REQUEST)
            callers.append(caller)
            await asyncio.sleep(0.1)
        assert unsent.used_bytes <= 2 * _LARGE_BYTES
        whole = [await asyncio.to_thread(_read_all, c) for c in callers]
        assert whole == sorted(whole), "the oldest are given up first"
        assert whole.count(False) == unsent.given_up > 0
        assert whole[-1]
        port.close()

    asyncio.run(scenario())


def _read_all(caller: socket.socket) -> bool:
    """Reads one answer; returns whether it was whole."""
    caller.settimeout(10.0)
    received = 0
    with contextlib.suppress(ConnectionError):
        while received < _LARGE_BYTES and (piece := caller.recv(1_000_000)):
            received += len(piece)
    caller.close()
    return received >= _LARGE_BYTES
