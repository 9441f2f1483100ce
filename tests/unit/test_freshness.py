"""How long ago a node last knew that its table is the newest."""

import asyncio
import random

import pytest

from burdockfront import freshness
from burdockfront import routes
from burdockfront import timeline
from burdockfront_bench import virtual_time
from burdockfront_node.controllers import repairs
from burdockfront_node.controllers import route_freshness


def test_age_counts_from_the_latest_confirmation_in_any_order():
    known = freshness.Freshness()
    assert known.age_s(9.0) is None
    known.confirm(5.0, "store")
    known.confirm(3.0, "10.0.0.2:1")
    assert known.age_s(9.0) == 4.0
    assert known.source == "store"


def test_claim_travels_with_and_without_an_age():
    for claim in (freshness.Claim(7, 0.25), freshness.Claim(-1, None)):
        assert repairs.claim_from_json(repairs.claim_to_json(claim)) == claim


def test_claim_of_an_earlier_release_has_no_age():
    assert repairs.claim_from_json({"rv": 3}) == freshness.Claim(3, None)


@pytest.mark.parametrize("age", ["old", -1.0, float("nan"), float("inf"), []])
def test_age_that_makes_no_sense_is_refused(age):
    with pytest.raises((TypeError, ValueError)):
        repairs.claim_from_json({"rv": 3, "ra": age})


class _Node:
    """A node's belief, without anybody who confirms it."""

    def __init__(self) -> None:
        self.recorder = timeline.Recorder("n1", "dc1", 10)
        self.belief = route_freshness.RouteFreshness(
            routes.RouteResolver(random.Random(1)),
            self.recorder,
            lambda: route_freshness.Duty(
                watching=False, store_away=True, nodes=10
            ),
            self._ask,
            random.Random(1),
        )
        self.asked = 0

    async def _ask(self) -> None:
        self.asked += 1

    def events(self) -> list[timeline.Event]:
        return list(
            reversed(self.recorder.select(timeline.Filter(kind="routes."), 10))
        )


def test_node_says_when_nobody_confirms_its_table_and_when_somebody_does():
    """Guards against a table that is kept although it may long be old."""

    async def scenario() -> list[timeline.Event]:
        node = _Node()
        node.belief.confirm(0.0, "10.0.0.2:1")
        watching = asyncio.create_task(node.belief.watch_forever())
        await asyncio.sleep(3 * route_freshness.CONFIRMATION_TTL_S)
        node.belief.on_claim("10.0.0.3:1", freshness.Claim(-1, 0.5))
        watching.cancel()
        assert node.asked > 0
        return node.events()

    events = sorted(virtual_time.run(scenario()), key=lambda e: e.stamp)
    _, lost, found = events
    assert lost.kind == "routes.unconfirmed"
    assert lost.detail["source"] == "10.0.0.2:1"
    assert lost.detail["store_away"]
    assert found.kind == "routes.confirmed"
    assert found.detail["source"] == "10.0.0.3:1"


def test_peer_with_another_version_confirms_nothing():
    async def scenario() -> freshness.Claim:
        node = _Node()
        node.belief.on_claim("10.0.0.3:1", freshness.Claim(4, 0.1))
        return node.belief.claim()

    assert virtual_time.run(scenario()).age_s is None
