"""Answers of native backend servers that belong to another attempt."""

import asyncio

import pytest

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


def _a_handover() -> handover.PlainHandover:
    return handover.PlainHandover(
        peers.Peers(),
        keyring.KeyRing([], open_ring=True),
        attempts.AttemptTracker(),
    )


def _announced(server: scripted_server.ScriptedServer) -> backend.Announcement:
    return backend.parse_announcement(
        {"service": "fees", "address": server.address, "slots": 4}
    )


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
            native = _a_handover()
            announced = _announced(server)
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


@pytest.mark.parametrize(
    ("repeatable", "names", "outcome"),
    [
        (False, True, outcomes.Outcome.NOT_RUN),
        (False, False, outcomes.Outcome.UNKNOWN),
        (True, False, outcomes.Outcome.NOT_RUN),
    ],
)
def test_refusal_that_names_no_attempt_does_not_refuse_a_confirmation(
    repeatable, names, outcome
):
    """Guards against a confirmation that is refused and runs."""

    async def scenario() -> None:
        fields = ["Burdockfront-Outcome: not-run"]
        if names:
            fields.append("Burdockfront-Attempt: a")
        refusal = scripted_server.an_answer(b"", "", *fields, status="503 Full")
        async with scripted_server.serving(
            scripted_server.Step(refusal)
        ) as server:
            native = _a_handover()
            answer = await native.run(
                _announced(server),
                builders.an_attempt("a", repeatable=repeatable),
                None,
                _LIMIT_BYTES,
            )
            assert answer.outcome is outcome

    asyncio.run(scenario())
