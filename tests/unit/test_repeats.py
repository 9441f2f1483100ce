"""Repeats of a request under its id never get an answer to an earlier attempt.

A backend server may send any answer twice, the second copy when the next
request on that connection has arrived. The copy names the same request.
"""

import asyncio

from burdockfront_client import connection as connection_lib
from burdockfront_client import http_messages
from burdockfront_client import pool as pool_lib
from tests import scripted_server

_REQUEST = (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n",)
_LIMIT_BYTES = 10_000
_TIMEOUT_S = 5.0


async def _send(
    pool: pool_lib.Pool, request_id: str
) -> http_messages.RawAnswer:
    return await pool.exchange(
        _REQUEST,
        lambda answer: answer.header("request-id") == request_id,
        _LIMIT_BYTES,
        True,
        _TIMEOUT_S,
        request_id,
    )


def _a_rejection(request_id: str) -> bytes:
    return scripted_server.an_answer(
        b"", request_id, "Not-Executed: 1", status="503 Service Unavailable"
    )


def _rejected_twice(request_id: str) -> scripted_server.Step:
    rejection = _a_rejection(request_id)
    return scripted_server.Step(rejection, late=rejection)


def _served(request_id: str) -> scripted_server.Step:
    return scripted_server.Step(scripted_server.an_answer(b"done", request_id))


def test_second_copy_of_a_rejection_is_no_answer_to_the_repeat():
    """Guards against a confirmation that runs twice, or is refused and runs."""

    async def scenario() -> None:
        steps = [_rejected_twice("a"), _served("a")]
        async with scripted_server.serving(*steps) as server:
            pool = pool_lib.Pool(server.address)
            assert (await _send(pool, "a")).status == 503
            assert (await _send(pool, "a")).body == b"done"
            assert server.connections == 2

    asyncio.run(scenario())


def test_repeat_avoids_each_connection_that_rejected_the_request():
    """Guards against a check of the last connection or last attempt only."""

    async def scenario() -> None:
        steps = [_rejected_twice("a"), _rejected_twice("a"), _served("a")]
        async with scripted_server.serving(*steps) as server:
            pool = pool_lib.Pool(server.address)
            for _ in range(2):
                assert (await _send(pool, "a")).status == 503
            assert (await _send(pool, "a")).body == b"done"
            assert server.connections == 3

    asyncio.run(scenario())


def test_other_requests_reuse_a_connection_after_a_rejection():
    """Guards against a new connection for each rejection in an overload."""

    async def scenario() -> None:
        steps = [
            scripted_server.Step(_a_rejection("a")),
            _served("b"),
            _served("a"),
            _served("c"),
        ]
        async with scripted_server.serving(*steps) as server:
            pool = pool_lib.Pool(server.address)
            assert (await _send(pool, "a")).status == 503
            for request_id in ("b", "a", "c"):
                assert (await _send(pool, request_id)).body == b"done"
            assert server.connections == 2, "only the repeat needs another one"

    asyncio.run(scenario())


def test_connection_with_many_rejections_is_closed():
    """Guards against ids that accumulate on a connection without a limit."""

    async def scenario() -> None:
        limit = connection_lib.MAX_FAILED_REQUESTS
        ids = [f"r{number}" for number in range(limit)]
        steps = [scripted_server.Step(_a_rejection(one)) for one in ids]
        async with scripted_server.serving(*steps, _served("x")) as server:
            pool = pool_lib.Pool(server.address)
            for request_id in ids[:-1]:
                assert (await _send(pool, request_id)).status == 503
            (connection,) = pool._idle
            assert (await _send(pool, ids[-1])).status == 503
            assert server.connections == 1
            assert connection._closed
            assert (await _send(pool, "x")).body == b"done"
            assert server.connections == 2

    asyncio.run(scenario())
