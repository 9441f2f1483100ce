"""Answers of native backend servers that belong to another attempt."""

import asyncio

from burdockfront import keyring
from burdockfront import outcomes
from burdockfront_client import attempts
from burdockfront_client import peers
from burdockfront_node import backend
from burdockfront_node import handover
from tests import builders
from tests import scripted_server

_LIMIT_BYTES = 10_000


def _served(attempt_id: str) -> bytes:
    echo = f"Burdockfront-Attempt: {attempt_id}"
    body = f"for {attempt_id}".encode()
    return scripted_server.an_answer(body, "", echo)


def test_answer_that_is_sent_twice_costs_the_next_requests_nothing():
    """Guards against a duplicated answer that makes all later ones lost.

    Each request on the connection would get the answer to the one before it.
    """

    async def scenario() -> None:
        steps = [
            scripted_server.Step(_served("a"), late=_served("a")),
            scripted_server.Step(_served("b")),
            scripted_server.Step(_served("c")),
        ]
        async with scripted_server.serving(*steps) as server:
            native = handover.PlainHandover(
                peers.Peers(),
                keyring.KeyRing([], open_ring=True),
                attempts.AttemptTracker(),
            )
            announced = backend.parse_announcement(
                {"service": "fees", "address": server.address, "slots": 4}
            )
            for attempt_id in ("a", "b", "c"):
                answer = await native.run(
                    announced,
                    builders.an_attempt(attempt_id),
                    None,
                    _LIMIT_BYTES,
                )
                assert answer.outcome is outcomes.Outcome.DONE
                assert answer.body == f"for {attempt_id}".encode()
            assert native.answers_discarded == 1

    asyncio.run(scenario())
