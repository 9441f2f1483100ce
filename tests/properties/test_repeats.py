"""Each attempt gets the answer that was given to it.

The server rejects attempts or serves them, and sends any answer a second time
when the next request on that connection has arrived. Requests are repeated
under the same id after a rejection, some at the same time as others. The oracle
knows which attempt each answer was given to.
"""

import asyncio
import collections
import dataclasses

import hypothesis
from hypothesis import strategies

from burdockfront_client import pool as pool_lib

_LIMIT_BYTES = 10_000
_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    """One attempt, and the server's reaction to it.

    Attributes:
        name: Which of a few requests is sent.
        rejected: Whether the server rejects it.
        duplicated: Whether the server sends its answer twice.
    """

    name: str
    rejected: bool
    duplicated: bool


# Attempts of one group are sent at the same time, under different ids.
_GROUPS = strategies.lists(
    strategies.lists(
        strategies.builds(
            _Attempt,
            strategies.sampled_from("abc"),
            strategies.booleans(),
            strategies.booleans(),
        ),
        min_size=1,
        max_size=3,
        unique_by=lambda attempt: attempt.name,
    ),
    max_size=6,
)


class _Server:
    """Reacts to each attempt as the attempt says."""

    def __init__(self) -> None:
        self.attempts: list[_Attempt] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        late = b""
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                return
            _, target, request_id, _ = head.split(b"\r\n")[0].split(b" ")
            number = int(target[1:])
            attempt = self.attempts[number]
            answer = _answer(attempt, request_id, number)
            writer.write(late + answer)
            late = answer if attempt.duplicated else b""


def _answer(attempt: _Attempt, request_id: bytes, number: int) -> bytes:
    status = b"503 Full" if attempt.rejected else b"200 OK"
    body = b"%d" % number
    return b"HTTP/1.1 %s\r\nrequest-id: %s\r\ncontent-length: %d\r\n\r\n%s" % (
        status,
        request_id,
        len(body),
        body,
    )


class _Client:
    """Repeats a request under its id until it is served."""

    def __init__(self, server: _Server, address: str):
        self._server = server
        self._pool = pool_lib.Pool(address)
        self._served: collections.Counter[str] = collections.Counter()

    async def send(self, attempt: _Attempt) -> None:
        number = len(self._server.attempts)
        self._server.attempts.append(attempt)
        request_id = f"{attempt.name}{self._served[attempt.name]}"
        answer = await self._pool.exchange(
            (f"GET /{number} {request_id} HTTP/1.1\r\n\r\n".encode(),),
            lambda found: found.header("request-id") == request_id,
            _LIMIT_BYTES,
            False,
            _TIMEOUT_S,
            request_id,
        )
        assert answer.body == b"%d" % number, "given to another attempt"
        if answer.status == 200:
            self._served[attempt.name] += 1

    def close(self) -> None:
        self._pool.close_idle()


@hypothesis.settings(max_examples=200, deadline=None)
@hypothesis.given(groups=_GROUPS)
def test_each_attempt_gets_the_answer_that_was_given_to_it(groups):
    async def scenario() -> None:
        server = _Server()
        listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        client = _Client(server, f"127.0.0.1:{port}")
        for group in groups:
            await asyncio.gather(*(client.send(attempt) for attempt in group))
        client.close()
        listener.close()

    asyncio.run(scenario())
