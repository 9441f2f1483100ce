"""Messages and answers of peers that this release can't read."""

import asyncio
import random

import pytest
from starlette import requests

from burdockfront import configuration
from burdockfront import membership
from burdockfront import timeline
from burdockfront_node import internal_app
from burdockfront_node import settings
from burdockfront_node.controllers import exchange as exchange_lib
from burdockfront_node.controllers import peer_link
from burdockfront_node.internal import supervision
from tests import builders


class _Link:
    """A link to peers that gives the same answer to each request."""

    transferred_bytes = 0

    def __init__(self, answer: object):
        self._answer = answer

    async def ask(self, *_: object) -> object:
        return self._answer


def _an_exchange(answer: object) -> exchange_lib.Exchange:
    link: peer_link.PeerLink = _Link(answer)
    rng = random.Random(1)
    return exchange_lib.Exchange(
        membership.Membership(
            builders.a_member("n1"), membership.Timing(), rng
        ),
        configuration.Configuration(),
        settings.GossipSettings(),
        link,
        timeline.Recorder("n1", "dc1", 10),
        asyncio.Event(),
        lambda: None,
        rng,
    )


_ANSWERS = [
    {},
    [],
    {"m": 1, "c": 2, "cb": 3, "mb": 4, "ready": True, "md": "", "cd": ""},
    {"m": [["n2", ["x"], {}]], "c": [], "md": "", "cd": ""},
    {"m": [["n2", [1, 2, 3], {}]], "c": [], "md": "", "cd": ""},
]


@pytest.mark.parametrize("answer", _ANSWERS)
def test_join_survives_an_answer_that_can_not_be_read(answer):
    # A seed ran another release. Its answer ended the task that joins the
    # cluster, so the node was never ready, with a single line in its log.
    async def join() -> int:
        return await _an_exchange(answer).join(["10.0.0.1:1"], 1)

    assert asyncio.run(join()) == 0


@pytest.mark.parametrize("answer", _ANSWERS)
def test_probe_survives_an_answer_that_can_not_be_read(answer):
    # The same failure in the task that probes: the node kept serving, but
    # detected no failures any more and received nothing that pushes missed.
    async def probe() -> bool:
        exchange = _an_exchange(answer)
        return await exchange._probe_once("10.0.0.1:1")

    assert not asyncio.run(probe())


@pytest.mark.parametrize("body", [b"[]", b"7", b"{", b'{"t": 1}', b'"x"'])
def test_message_that_can_not_be_read_is_rejected_with_the_remedy(body):
    # The opposite direction: such a peer sends a request. For some of these
    # bodies it got "500 Internal Server Error", which does not say what is
    # wrong on which side.
    exchange = _an_exchange({})

    async def on_push(message: dict[str, object]) -> dict[str, object]:
        return exchange.on_push(message)

    async def receive() -> dict[str, object]:
        return {"type": "http.request", "body": body, "more_body": False}

    keys = builders.a_key_ring()
    route = internal_app.json_route("/p", lambda: keys, print, on_push)
    authorization = f"Bearer {builders.KEY}".encode()
    scope = {"type": "http", "headers": [(b"authorization", authorization)]}
    response = asyncio.run(route.endpoint(requests.Request(scope, receive)))
    assert response.status_code == 400
    assert b"compatible releases" in response.body


def test_failed_task_is_restarted():
    # An unexpected error ended the task of a controller. The node remained
    # ready and kept serving without it, and no longer received any changes.
    recorder = timeline.Recorder("n1", "dc1", 10)
    runs = []

    async def work() -> None:
        runs.append(1)
        if len(runs) < 3:
            raise RuntimeError("an unexpected error")

    asyncio.run(supervision.keep_running(work, recorder, pause_s=0.0))
    assert len(runs) == 3
    failed = recorder.select(timeline.Filter(kind="task.failed"), 10)
    assert len(failed) == 2
