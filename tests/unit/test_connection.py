"""Connections to backend servers that misbehave: no answer is another's."""

import asyncio

import pytest

from burdockfront_client import connection as connection_lib
from burdockfront_client import pool as pool_lib
from tests import scripted_server

_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
_LIMIT_BYTES = 10_000
_TIMEOUT_S = 30.0


def _own(request_id: str):
    return lambda answer: answer.header("request-id") == request_id


async def _ask(
    pool: pool_lib.Pool, request_id: str, fresh: bool = False
) -> connection_lib.RawAnswer:
    return await pool.exchange(
        _REQUEST, _own(request_id), _LIMIT_BYTES, fresh, _TIMEOUT_S
    )


def test_connection_is_kept_for_the_next_request():
    async def scenario() -> None:
        steps = [
            scripted_server.Step(scripted_server.an_answer(b"one", "a")),
            scripted_server.Step(scripted_server.an_answer(b"two", "b")),
        ]
        async with scripted_server.serving(*steps) as server:
            pool = pool_lib.Pool(server.address)
            assert (await _ask(pool, "a")).body == b"one"
            assert (await _ask(pool, "b")).body == b"two"
            assert server.connections == 1

    asyncio.run(scenario())


def test_second_answer_behind_the_first_is_nobodys():
    # The backend server answers the same request twice. Read as the answer to
    # the next request, the copy would give one caller another one's page.
    async def scenario() -> None:
        twice = scripted_server.an_answer(b"one", "a") * 2
        steps = [
            scripted_server.Step(twice),
            scripted_server.Step(scripted_server.an_answer(b"two", "b")),
        ]
        async with scripted_server.serving(*steps) as server:
            pool = pool_lib.Pool(server.address)
            assert (await _ask(pool, "a")).body == b"one"
            assert (await _ask(pool, "b")).body == b"two"
            assert server.connections == 2, "such a connection is not reused"

    asyncio.run(scenario())


def test_late_answer_to_an_earlier_request_is_skipped():
    # It arrives at the point at which the next answer is due, and our own
    # follows. Only the id tells them apart.
    async def scenario() -> None:
        late = scripted_server.an_answer(b"old", "before")
        own = scripted_server.an_answer(b"new", "a")
        async with scripted_server.serving(
            scripted_server.Step(late + own)
        ) as server:
            pool = pool_lib.Pool(server.address)
            assert (await _ask(pool, "a")).body == b"new"

    asyncio.run(scenario())


def test_bytes_on_an_idle_connection_end_it():
    # Nothing was asked, and bytes arrive all the same.
    async def scenario() -> None:
        steps = [
            scripted_server.Step(scripted_server.an_answer(b"one", "a")),
            scripted_server.Step(scripted_server.an_answer(b"two", "b")),
        ]
        async with scripted_server.serving(*steps) as server:
            pool = pool_lib.Pool(server.address)
            await _ask(pool, "a")
            idle = pool._idle[0]
            idle.data_received(b"HTTP/1.1 200 OK\r\n")
            assert not idle.usable
            assert (await _ask(pool, "b")).body == b"two"
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
    ids=["cut", "rubbish", "reset", "closed", "chunk-cut", "unframed-reset"],
)
def test_answer_that_is_not_whole_is_lost_and_never_shortened(step):
    # The caller must not get half an answer that looks complete.
    async def scenario() -> None:
        async with scripted_server.serving(step) as server:
            pool = pool_lib.Pool(server.address)
            with pytest.raises(connection_lib.AnswerLostError):
                await _ask(pool, "a")

    asyncio.run(scenario())


def test_answer_without_a_length_ends_with_its_connection():
    async def scenario() -> None:
        unframed = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nwhole"
        async with scripted_server.serving(
            scripted_server.Step(unframed, "close")
        ) as server:
            pool = pool_lib.Pool(server.address)
            assert (await _ask(pool, "a")).body == b"whole"

    asyncio.run(scenario())


def test_refused_connection_proves_that_nothing_was_sent():
    async def scenario() -> None:
        async with scripted_server.serving() as server:
            address = server.address
        with pytest.raises(connection_lib.NotSentError, match="nothing was"):
            await _ask(pool_lib.Pool(address), "a")

    asyncio.run(scenario())


def test_request_that_must_not_repeat_avoids_a_connection_idle_for_long():
    # The other side may close it in this very moment; the request would be
    # lost and nobody could tell whether it ran.
    async def scenario() -> None:
        steps = [
            scripted_server.Step(scripted_server.an_answer(b"one", "a")),
            scripted_server.Step(scripted_server.an_answer(b"two", "b")),
        ]
        async with scripted_server.serving(*steps) as server:
            pool = pool_lib.Pool(server.address)
            await _ask(pool, "a")
            pool._idle[0].idle_since_s -= 1.0
            await _ask(pool, "b", fresh=True)
            assert server.connections == 2

    asyncio.run(scenario())


def test_idle_time_that_the_other_side_states_is_kept():
    async def scenario() -> None:
        stated = scripted_server.an_answer(b"one", "a", "Keep-Alive: timeout=4")
        steps = [
            scripted_server.Step(stated),
            scripted_server.Step(scripted_server.an_answer(b"two", "b")),
        ]
        async with scripted_server.serving(*steps) as server:
            pool = pool_lib.Pool(server.address)
            await _ask(pool, "a")
            assert pool._idle[0].keep_alive_s == 4.0
            pool._idle[0].idle_since_s -= 3.0
            await _ask(pool, "b")
            assert server.connections == 2

    asyncio.run(scenario())


def test_connection_that_the_other_side_ends_is_not_reused():
    async def scenario() -> None:
        last = scripted_server.an_answer(b"one", "a", "Connection: close")
        steps = [
            scripted_server.Step(last),
            scripted_server.Step(scripted_server.an_answer(b"two", "b")),
        ]
        async with scripted_server.serving(*steps) as server:
            pool = pool_lib.Pool(server.address)
            await _ask(pool, "a")
            assert (await _ask(pool, "b")).body == b"two"
            assert server.connections == 2

    asyncio.run(scenario())


def test_too_large_an_answer_is_given_up():
    async def scenario() -> None:
        large = scripted_server.an_answer(b"x" * (_LIMIT_BYTES + 1), "a")
        async with scripted_server.serving(
            scripted_server.Step(large)
        ) as server:
            with pytest.raises(connection_lib.AnswerLostError, match="bytes"):
                await _ask(pool_lib.Pool(server.address), "a")

    asyncio.run(scenario())


def test_caller_who_leaves_closes_the_connection():
    # Closing is what tells the backend server to stop working on it.
    async def scenario() -> None:
        async with scripted_server.serving(
            scripted_server.Step(b"", "hang")
        ) as server:
            pool = pool_lib.Pool(server.address)
            task = asyncio.create_task(_ask(pool, "a"))
            while not server.requests:
                await asyncio.sleep(0.005)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            assert not pool._idle

    asyncio.run(scenario())


def test_call_whose_time_ended_while_it_connected_is_not_sent(monkeypatch):
    # The other side takes its time to accept. Sent after all, the request
    # would run though its caller has been told that its time is over.
    async def scenario() -> None:
        answer = scripted_server.an_answer(b"one", "a")
        async with scripted_server.serving(
            scripted_server.Step(answer)
        ) as server:
            pool = pool_lib.Pool(server.address)
            opened = pool._open

            async def slow_open(timeout_s: float):
                connection = await opened(timeout_s)
                await asyncio.sleep(0.02)
                return connection

            monkeypatch.setattr(pool, "_open", slow_open)
            with pytest.raises(connection_lib.NotSentError, match="was over"):
                await pool.exchange(
                    _REQUEST, _own("a"), _LIMIT_BYTES, False, 0.01
                )
            assert pool._idle[0].usable, "the connection is kept"
            assert (await _ask(pool, "a")).body == b"one"
            assert server.connections == 1

    asyncio.run(scenario())
