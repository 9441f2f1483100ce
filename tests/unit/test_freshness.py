"""Time since a node's table of routes was last confirmed to be the newest."""

import asyncio
import random

import pytest

from burdockfront import freshness
from burdockfront import routes
from burdockfront import timeline
from burdockfront_bench import virtual_time
from burdockfront_node.controllers import anti_entropy
from burdockfront_node.controllers import route_freshness


def test_age_counts_from_the_latest_confirmation_in_any_order():
    confirmed = freshness.Freshness()
    assert confirmed.age_s(9.0) is None
    confirmed.confirm(5.0, "store")
    confirmed.confirm(3.0, "10.0.0.2:1")
    assert confirmed.age_s(9.0) == 4.0
    assert confirmed.source == "store"


def test_claim_survives_a_json_round_trip_with_and_without_an_age():
    for claim in (freshness.Claim(7, 0.25), freshness.Claim(-1, None)):
        assert (
            anti_entropy.claim_from_json(anti_entropy.claim_to_json(claim))
            == claim
        )


def test_claim_of_an_earlier_release_has_no_age():
    assert anti_entropy.claim_from_json({"rv": 3}) == freshness.Claim(3, None)


@pytest.mark.parametrize("age", ["old", -1.0, float("nan"), float("inf"), []])
def test_invalid_age_is_rejected(age):
    with pytest.raises((TypeError, ValueError)):
        anti_entropy.claim_from_json({"rv": 3, "ra": age})


class _Node:
    """A node that is no watcher, whose store is unavailable."""

    def __init__(self) -> None:
        self.recorder = timeline.Recorder("n1", "dc1", 10)
        self.freshness = route_freshness.RouteFreshness(
            routes.RouteResolver(random.Random(1)),
            self.recorder,
            lambda: route_freshness.Duty(
                watching=False, store_away=True, nodes=10
            ),
            self._query,
            random.Random(1),
        )
        self.queries = 0

    async def _query(self) -> None:
        self.queries += 1

    def events(self) -> list[timeline.Event]:
        return list(
            reversed(self.recorder.select(timeline.Filter(kind="routes."), 10))
        )


def test_missing_and_regained_confirmation_are_recorded():
    """Guards against serving from a possibly outdated table without notice."""

    async def scenario() -> list[timeline.Event]:
        node = _Node()
        node.freshness.confirm(0.0, "10.0.0.2:1")
        watching = asyncio.create_task(node.freshness.watch_forever())
        await asyncio.sleep(3 * route_freshness.UNCONFIRMED_S)
        node.freshness.heard("10.0.0.3:1", freshness.Claim(-1, 0.5))
        watching.cancel()
        assert node.queries > 0
        return node.events()

    events = sorted(virtual_time.run(scenario()), key=lambda e: e.stamp)
    _, lost, found = events
    assert lost.kind == "routes.unconfirmed"
    assert lost.detail["source"] == "10.0.0.2:1"
    assert lost.detail["store_away"]
    assert found.kind == "routes.confirmed"
    assert found.detail["source"] == "10.0.0.3:1"


def test_claim_of_another_version_does_not_confirm_the_table():
    async def scenario() -> freshness.Claim:
        node = _Node()
        node.freshness.heard("10.0.0.3:1", freshness.Claim(4, 0.1))
        return node.freshness.claim()

    assert virtual_time.run(scenario()).age_s is None
