"""Changes of routes that the watchers are not notified of.

Runs the real controllers of all nodes in virtual time (`exchange_model`). A
change must be active within two seconds, when the nodes and the store have had
no faults for three.
"""

import asyncio

import pytest

from burdockfront_bench import exchange_model
from burdockfront_bench import virtual_time
from tests import fleets

_ACTIVE_S = 2.0
_STABLE_S = 3.0
# Faults beyond any single one are still detected within seconds.
_DETECTED_S = 10.0
# Longer than a watch waits for a change.
_WATCH_S = 25.0
_SIZES = pytest.mark.parametrize(
    ("nodes", "data_centers"), [(12, 3), (16, 4), (30, 6)]
)
_SEEDS = pytest.mark.parametrize("seed", [1, 2, 3])


async def _active_after_s(fleet: exchange_model.Fleet, version: int) -> float:
    return await exchange_model.until(
        lambda: exchange_model.all_have(fleet, version), 3 * _WATCH_S
    )


@_SIZES
@_SEEDS
def test_change_is_active_although_the_answers_to_all_watches_are_lost(
    nodes, data_centers, seed
):
    """Guards against watches that wait for an answer that never comes."""

    async def scenario() -> float:
        fleet = await fleets.a_settled_fleet(nodes, data_centers, seed)
        fleet.faults.watches_lost = 1.0
        fleet.change_routes(2)
        await asyncio.sleep(0.05)
        fleet.faults.watches_lost = 0.0
        return await _active_after_s(fleet, 2)

    assert virtual_time.run(scenario()) < _ACTIVE_S


@pytest.mark.parametrize("outage_s", [0.05, 0.3, 1.0])
@_SEEDS
def test_change_during_a_short_outage_of_the_store_is_active(outage_s, seed):
    """Guards against an outage too short to detect that loses the answers."""

    async def scenario() -> float:
        fleet = await fleets.a_settled_fleet(12, 3, seed)
        fleet.faults.store_silent.update(fleet.nodes)
        await asyncio.sleep(outage_s / 2)
        fleet.change_routes(2)
        await asyncio.sleep(outage_s / 2)
        fleet.faults.store_silent.clear()
        return await _active_after_s(fleet, 2)

    assert virtual_time.run(scenario()) < _STABLE_S


@_SEEDS
def test_change_is_active_although_no_node_considers_itself_a_watcher(seed):
    """Guards against nodes that all rely on the watch of another node."""

    async def scenario() -> float:
        fleet = await fleets.a_settled_fleet(12, 3, seed)
        for node in fleet.living():
            node.watch.set_watcher(False)
            node.watch.set_watcher = lambda chosen: None
        await asyncio.sleep(_WATCH_S)
        fleet.change_routes(2)
        return await _active_after_s(fleet, 2)

    assert virtual_time.run(scenario()) < _DETECTED_S


@_SEEDS
def test_store_that_answers_no_node_is_not_called_by_all(seed):
    """Guards against all nodes calling the store during an outage."""

    async def scenario() -> float:
        fleet = await fleets.a_settled_fleet(30, 6, seed)
        fleet.faults.store_silent.update(fleet.nodes)
        await asyncio.sleep(10.0)
        before = fleet.costs.copy()
        await asyncio.sleep(20.0)
        return fleet.costs.since(before).store_calls / 20.0

    # The watchers and candidates of six data centres, each at most once in
    # 0.8 s, and some reads of nodes whose table is not confirmed.
    assert virtual_time.run(scenario()) < 50.0
