"""Backend servers that send bytes without end in place of an answer."""

import asyncio
import time

import pytest

from burdockfront_bench.standins import faulty_answers
from burdockfront_client import connection as connection_lib
from burdockfront_client import pool as pool_lib
from tests import scripted_server

_REQUEST = (b"GET / HTTP/1.1\r\nhost: a\r\n\r\n",)
_LIMIT_BYTES = 4_000_000
_TIMEOUT_S = 2.0
# What a node may read before it gives up, besides a body within its limit:
# bytes in socket buffers count as sent.
_MOST_SENT_BYTES = 16_000_000
_ENDLESS = sorted(
    name for name in faulty_answers.KINDS.names() if "endless" in name
)


@pytest.mark.parametrize("kind", _ENDLESS)
def test_answer_without_end_is_given_up_before_the_deadline(kind: str):
    """Guards against a server that occupies a node until the deadline."""

    async def scenario() -> None:
        faulty = faulty_answers.KINDS.get(kind)(faulty_answers.Original("a"))
        step = scripted_server.Step(faulty.start, repeated=faulty.repeated)
        async with scripted_server.serving(step) as server:
            pool = pool_lib.Pool(server.address)
            began_s = time.monotonic()
            with pytest.raises(connection_lib.AnswerLostError) as caught:
                await pool.exchange(
                    _REQUEST,
                    lambda answer: answer.header("request-id") == "a",
                    _LIMIT_BYTES,
                    False,
                    _TIMEOUT_S,
                )
            assert not isinstance(caught.value, connection_lib.AnswerLateError)
            assert time.monotonic() - began_s < _TIMEOUT_S
            assert server.repeated_bytes < _MOST_SENT_BYTES

    asyncio.run(scenario())
