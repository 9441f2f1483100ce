"""The memory of answers that are being received, over all connections."""

import asyncio

import pytest

from burdockfront_bench.standins import faulty_answers
from burdockfront_client import answer_memory
from burdockfront_client import connection as connection_lib
from burdockfront_client import http_messages
from burdockfront_client import pool as pool_lib
from tests import scripted_server

_REQUEST = (b"GET / HTTP/1.1\r\nhost: a\r\n\r\n",)
_LIMIT_BYTES = 4_000_000
_CAPACITY_BYTES = 1_000_000
_TIMEOUT_S = 10.0


async def _request(pool: pool_lib.Pool) -> http_messages.RawAnswer:
    return await pool.exchange(
        _REQUEST, lambda _: True, _LIMIT_BYTES, False, _TIMEOUT_S
    )


def test_largest_incomplete_answer_is_given_up():
    """Guards against a usual answer that is lost beside one without end."""

    async def scenario() -> None:
        memory = answer_memory.AnswerMemory(_CAPACITY_BYTES)
        faulty = faulty_answers.endless_chunks(faulty_answers.Original("a"))
        endless = scripted_server.Step(faulty.start, repeated=faulty.repeated)
        body = b"b" * 500_000
        usual = scripted_server.Step(scripted_server.an_answer(body, "b"))
        async with (
            scripted_server.serving(endless) as one,
            scripted_server.serving(usual) as other,
        ):
            pools = [
                pool_lib.Pool(server.address, memory=memory)
                for server in (one, other)
            ]
            lost, whole = await asyncio.gather(
                *(_request(pool) for pool in pools), return_exceptions=True
            )
            assert isinstance(lost, connection_lib.AnswerTooLargeError)
            assert isinstance(whole, http_messages.RawAnswer)
            assert whole.body == body
        assert memory.given_up == 1
        assert memory.used_bytes == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("then", ["reset", "close", "hang"])
def test_memory_of_an_answer_is_released_however_it_ends(then: str):
    """Guards against a capacity that lost answers use up for good."""

    async def scenario() -> None:
        memory = answer_memory.AnswerMemory(_CAPACITY_BYTES)
        whole = scripted_server.an_answer(b"b" * 500_000, "a")
        async with scripted_server.serving(
            scripted_server.Step(whole[:-1], then)
        ) as server:
            pool = pool_lib.Pool(server.address, memory=memory)
            request = asyncio.create_task(_request(pool))
            if then == "hang":
                while memory.used_bytes == 0:
                    await asyncio.sleep(0.001)
                request.cancel()
            await asyncio.gather(request, return_exceptions=True)
        assert memory.used_bytes == 0

    asyncio.run(scenario())


def test_answers_within_the_capacity_are_kept():
    memory = answer_memory.AnswerMemory(10)
    given_up: list[int] = []

    class _Holder:
        def give_up_answer(self, held_bytes: int, capacity_bytes: int) -> None:
            given_up.append(held_bytes)

    small, large = _Holder(), _Holder()
    memory.update(small, 4)
    memory.update(large, 6)
    assert given_up == []
    memory.update(small, 5)
    assert given_up == [6]
    assert memory.used_bytes == 5
