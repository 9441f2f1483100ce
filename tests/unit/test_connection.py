"""Connections to misbehaving backend servers never mix up answers."""

import asyncio

import pytest

from burdockfront_bench.standins import faulty_answers
from burdockfront_client import connection as connection_lib
from burdockfront_client import http_messages
from burdockfront_client import pool as pool_lib
from tests import scripted_server

_REQUEST = (b"GET / HTTP/1.1\r\nhost: a\r\n\r\n",)
_LIMIT_BYTES = 10_000
_TIMEOUT_S = 30.0


def _is_answer_to(request_id: str):
    return lambda answer: answer.header("request-id") == request_id


async def _request(
    pool: pool_lib.Pool, request_id: str, fresh: bool = False
) -> http_messages.RawAnswer:
    return await pool.exchange(
        _REQUEST, _is_answer_to(request_id), _LIMIT_BYTES, fresh, _TIMEOUT_S
    )


def test_connection_is_kept_for_the_next_request():
    async def scenario() -> None:
        steps = [
            scripted_server.Step(scripted_server.an_answer(b"one", "a")),
            scripted_server.Step(scripted_server.an_answer(b"two", "b")),
        ]
        async with scripted_server.serving(*steps) as server:
            pool = pool_lib.Pool(server.address)
            assert (await _request(pool, "a")).body == b"one"
            assert (await _request(pool, "b")).body == b"two"
            assert server.connections == 1

    asyncio.run(scenario())


def test_duplicate_answer_is_dropped():
    # The backend server answers the same request twice. Parsed as the answer to
    # the next request, the duplicate would reach the wrong caller.
    async def scenario() -> None:
        twice = scripted_server.an_answer(b"one", "a") * 2
        steps = [
            scripted_server.Step(twice),
            scripted_server.Step(scripted_server.an_answer(b"two", "b")),
        ]
        async with scripted_server.serving(*steps) as server:
            pool = pool_lib.Pool(server.address)
            assert (await _request(pool, "a")).body == b"one"
            assert (await _request(pool, "b")).body == b"two"
            assert server.connections == 2, "the connection is not reused"

    asyncio.run(scenario())


def test_late_answer_to_an_earlier_request_is_skipped():
    # It arrives when the next answer is due, and that answer follows. Only the
    # request id distinguishes them.
    async def scenario() -> None:
        late = scripted_server.an_answer(b"old", "before")
        own = scripted_server.an_answer(b"new", "a")
        async with scripted_server.serving(
            scripted_server.Step(late + own)
        ) as server:
            pool = pool_lib.Pool(server.address)
            assert (await _request(pool, "a")).body == b"new"

    asyncio.run(scenario())


def test_bytes_on_an_idle_connection_close_it():
    # Bytes arrive while no request is pending.
    async def scenario() -> None:
        steps = [
            scripted_server.Step(scripted_server.an_answer(b"one", "a")),
            scripted_server.Step(scripted_server.an_answer(b"two", "b")),
        ]
        async with scripted_server.serving(*steps) as server:
            pool = pool_lib.Pool(server.address)
            await _request(pool, "a")
            idle = pool._idle[0]
            idle.data_received(b"HTTP/1.1 200 OK\r\n")
            assert not idle.usable
            assert (await _request(pool, "b")).body == b"two"
            assert server.connections == 2

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "step",
    [
        scripted_server.Step(
            b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 9\r\n\r\nhal",
            "close",
        ),
        scripted_server.Step(b"\x00\x01 this is no answer \x02", "keep"),
        scripted_server.Step(b"", "reset"),
        scripted_server.Step(b"", "close"),
        scripted_server.Step(
            b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n5\r\nhel",
            "reset",
        ),
        scripted_server.Step(
            b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nhal", "reset"
        ),
    ],
    ids=[
        "truncated",
        "invalid",
        "reset",
        "closed",
        "truncated-chunk",
        "unframed-reset",
    ],
)
def test_incomplete_answer_is_lost_and_never_truncated(step):
    # The caller must not get part of an answer that looks complete.
    async def scenario() -> None:
        async with scripted_server.serving(step) as server:
            pool = pool_lib.Pool(server.address)
            with pytest.raises(connection_lib.AnswerLostError):
                await _request(pool, "a")

    asyncio.run(scenario())


def test_answer_without_length_ends_when_its_connection_is_closed():
    async def scenario() -> None:
        unframed = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nwhole"
        async with scripted_server.serving(
            scripted_server.Step(unframed, "close")
        ) as server:
            pool = pool_lib.Pool(server.address)
            assert (await _request(pool, "a")).body == b"whole"

    asyncio.run(scenario())


def test_refused_connection_proves_that_nothing_was_sent():
    async def scenario() -> None:
        async with scripted_server.serving() as server:
            address = server.address
        with pytest.raises(connection_lib.NotSentError, match="nothing was"):
            await _request(pool_lib.Pool(address), "a")

    asyncio.run(scenario())


def test_request_that_must_run_once_avoids_connections_idle_for_long():
    # The server may be closing such a connection. The request would be lost,
    # and it would be unknown whether it ran.
    async def scenario() -> None:
        steps = [
            scripted_server.Step(scripted_server.an_answer(b"one", "a")),
            scripted_server.Step(scripted_server.an_answer(b"two", "b")),
        ]
        async with scripted_server.serving(*steps) as server:
            pool = pool_lib.Pool(server.address)
            await _request(pool, "a")
            pool._idle[0].idle_since_s -= 1.0
            await _request(pool, "b", fresh=True)
            assert server.connections == 2

    asyncio.run(scenario())


def test_keep_alive_timeout_of_the_server_is_respected():
    async def scenario() -> None:
        first = scripted_server.an_answer(b"one", "a", "Keep-Alive: timeout=4")
        steps = [
            scripted_server.Step(first),
            scripted_server.Step(scripted_server.an_answer(b"two", "b")),
        ]
        async with scripted_server.serving(*steps) as server:
            pool = pool_lib.Pool(server.address)
            await _request(pool, "a")
            assert pool._idle[0].keep_alive_s == 4.0
            pool._idle[0].idle_since_s -= 3.0
            await _request(pool, "b")
            assert server.connections == 2

    asyncio.run(scenario())


def test_connection_that_the_server_closes_is_not_reused():
    async def scenario() -> None:
        last = scripted_server.an_answer(b"one", "a", "Connection: close")
        steps = [
            scripted_server.Step(last),
            scripted_server.Step(scripted_server.an_answer(b"two", "b")),
        ]
        async with scripted_server.serving(*steps) as server:
            pool = pool_lib.Pool(server.address)
            await _request(pool, "a")
            assert (await _request(pool, "b")).body == b"two"
            assert server.connections == 2

    asyncio.run(scenario())


def test_too_large_answer_is_lost():
    async def scenario() -> None:
        large = scripted_server.an_answer(b"x" * (_LIMIT_BYTES + 1), "a")
        async with scripted_server.serving(
            scripted_server.Step(large)
        ) as server:
            with pytest.raises(connection_lib.AnswerLostError, match="bytes"):
                await _request(pool_lib.Pool(server.address), "a")

    asyncio.run(scenario())


def test_cancelled_request_closes_the_connection():
    # Only the closed connection signals to the backend server that it should
    # stop processing the request.
    async def scenario() -> None:
        async with scripted_server.serving(
            scripted_server.Step(b"", "hang")
        ) as server:
            pool = pool_lib.Pool(server.address)
            task = asyncio.create_task(_request(pool, "a"))
            while not server.requests:
                await asyncio.sleep(0.005)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            assert not pool._idle

    asyncio.run(scenario())


def test_call_that_timed_out_while_connecting_is_not_sent(monkeypatch):
    # The server is slow to accept the connection. Sent nevertheless, the
    # request would run although its caller already got a timeout.
    async def scenario() -> None:
        answer = scripted_server.an_answer(b"one", "a")
        async with scripted_server.serving(
            scripted_server.Step(answer)
        ) as server:
            pool = pool_lib.Pool(server.address)
            open_connection = pool._open

            async def slow_open(timeout_s: float):
                connection = await open_connection(timeout_s)
                await asyncio.sleep(timeout_s + 0.1)
                return connection

            monkeypatch.setattr(pool, "_open", slow_open)
            with pytest.raises(connection_lib.NotSentError, match="was over"):
                await pool.exchange(
                    _REQUEST, _is_answer_to("a"), _LIMIT_BYTES, False, 0.5
                )
            assert pool._idle[0].usable, "the connection is kept"
            assert (await _request(pool, "a")).body == b"one"
            assert server.connections == 1

    asyncio.run(scenario())


def _head_of(size_bytes: int) -> bytes:
    lines = [
        b"x-%d: %s\r\n" % (n, b"v" * 990) for n in range(size_bytes // 999)
    ]
    return b"HTTP/1.1 200 OK\r\nrequest-id: a\r\n" + b"".join(lines)


@pytest.mark.parametrize("ending", [b"content-length: 0\r\n\r\n", b""])
def test_answer_with_too_large_a_head_is_dropped(ending):
    """Guards against backend servers that fill the memory with headers."""

    async def scenario() -> None:
        step = scripted_server.Step(_head_of(80_000) + ending)
        async with scripted_server.serving(step) as server:
            pool = pool_lib.Pool(server.address)
            with pytest.raises(connection_lib.AnswerLostError, match="headers"):
                await _request(pool, "a")

    asyncio.run(scenario())


def test_large_body_that_arrives_with_the_head_is_no_large_head():
    """Guards against whole answers dropped for bytes of their body."""

    async def scenario() -> None:
        body = b"b" * 200_000
        length = b"content-length: %d\r\n\r\n" % len(body)
        step = scripted_server.Step(_head_of(60_000) + length + body)
        async with scripted_server.serving(step) as server:
            pool = pool_lib.Pool(server.address)
            answer = await pool.exchange(
                _REQUEST, _is_answer_to("a"), 300_000, False, _TIMEOUT_S
            )
            assert answer.body == body

    asyncio.run(scenario())


def test_trailer_fields_are_no_headers():
    """Guards against a trailer that turns a success into a rejection."""

    async def scenario() -> None:
        faulty = faulty_answers.rejection_in_trailer(
            faulty_answers.Original("a")
        )
        step = scripted_server.Step(faulty.start)
        async with scripted_server.serving(step) as server:
            answer = await _request(pool_lib.Pool(server.address), "a")
            assert answer.body == b"done"
            assert answer.header("not-executed") is None

    asyncio.run(scenario())
