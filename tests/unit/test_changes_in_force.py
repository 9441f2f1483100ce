"""Changes of routes that nobody tells of, as the nodes that watch see it.

The real controllers of all nodes under virtual time (`exchange_model`). Bounds:
two seconds after a change, at nodes and a store without trouble for three.
"""

import asyncio

import pytest

from burdockfront_bench import exchange_model
from burdockfront_bench import virtual_time
from tests import fleets

_IN_FORCE_S = 2.0
_STABLE_S = 3.0
# What no single fault explains is still found out within seconds.
_FOUND_OUT_S = 10.0
# As long as a watch waits for a change, and more.
_WATCH_S = 25.0
_SIZES = pytest.mark.parametrize(
    ("nodes", "places"), [(12, 3), (16, 4), (30, 6)]
)
_SEEDS = pytest.mark.parametrize("seed", [1, 2, 3])


async def _in_force_s(fleet: exchange_model.Fleet, version: int) -> float:
    return await exchange_model.until(
        lambda: exchange_model.all_have(fleet, version), 3 * _WATCH_S
    )


@_SIZES
@_SEEDS
def test_change_whose_news_to_all_watchers_is_lost_is_in_force(
    nodes, places, seed
):
    """Guards against watches that wait for an answer that never comes."""

    async def scenario() -> float:
        fleet = await fleets.a_settled_fleet(nodes, places, seed)
        fleet.faults.watches_lost = 1.0
        fleet.change_routes(2)
        await asyncio.sleep(0.05)
        fleet.faults.watches_lost = 0.0
        return await _in_force_s(fleet, 2)

    assert virtual_time.run(scenario()) < _IN_FORCE_S


@pytest.mark.parametrize("silent_s", [0.05, 0.3, 1.0])
@_SEEDS
def test_change_made_in_a_moment_of_the_stores_silence_is_in_force(
    silent_s, seed
):
    """Guards against an outage too short to be noticed, which took the news."""

    async def scenario() -> float:
        fleet = await fleets.a_settled_fleet(12, 3, seed)
        fleet.faults.store_silent.update(fleet.nodes)
        await asyncio.sleep(silent_s / 2)
        fleet.change_routes(2)
        await asyncio.sleep(silent_s / 2)
        fleet.faults.store_silent.clear()
        return await _in_force_s(fleet, 2)

    assert virtual_time.run(scenario()) < _STABLE_S


@_SEEDS
def test_change_is_in_force_although_nobody_believes_it_is_to_watch(seed):
    """Guards against nodes that all rely on another one's watch."""

    async def scenario() -> float:
        fleet = await fleets.a_settled_fleet(12, 3, seed)
        for node in fleet.living():
            node.watch.set_watcher(False)
            node.watch.set_watcher = lambda chosen: None
        await asyncio.sleep(_WATCH_S)
        fleet.change_routes(2)
        return await _in_force_s(fleet, 2)

    assert virtual_time.run(scenario()) < _FOUND_OUT_S


@_SEEDS
def test_store_that_answers_nobody_is_not_asked_by_all(seed):
    """Guards against an outage that is met by the questions of all nodes."""

    async def scenario() -> float:
        fleet = await fleets.a_settled_fleet(30, 6, seed)
        fleet.faults.store_silent.update(fleet.nodes)
        await asyncio.sleep(10.0)
        before = fleet.costs.copy()
        await asyncio.sleep(20.0)
        return fleet.costs.since(before).store_calls / 20.0

    # The watchers and candidates of six data centres, once in 0.8 s or less
    # often, and some reads of nodes that nobody confirms anything to.
    assert virtual_time.run(scenario()) < 50.0
