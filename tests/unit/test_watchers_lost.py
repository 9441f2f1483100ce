"""Changes beside the loss of all who watch the store for the others.

The real controllers of all nodes under virtual time (`exchange_model`). A
change must be in force within two seconds at nodes to which nothing happened. A
machine on which processes wait for their turn adds to what the model shows, so
half of that is asked here.
"""

import asyncio

import pytest

from burdockfront import watchers
from burdockfront_bench import exchange_model
from burdockfront_bench import virtual_time
from tests import fleets

_HALF_THE_BOUND_S = 1.0
_SEEDS = range(1, 13)
_SIZES = pytest.mark.parametrize(("nodes", "places"), [(14, 3), (16, 4)])
# From the loss to the change; nodes may have noticed the loss by then or not.
_LEADS_S = (0.0, 0.05, 0.3, 0.8)


def _worst_s(
    nodes: int, places: int, lose: fleets.Loss, stale_lag_s: float = 0.0
) -> float:
    return max(
        virtual_time.run(_late_s(nodes, places, lose, seed, stale_lag_s))
        for seed in _SEEDS
    )


async def _late_s(
    nodes: int, places: int, lose: fleets.Loss, seed: int, stale_lag_s: float
) -> float:
    """Returns when a change is in force at the last undisturbed node."""
    fleet = await fleets.a_settled_fleet(nodes, places, seed)
    fleet.faults.stale_lag_s = stale_lag_s
    # Watches and probes of the nodes are at another point each time.
    await asyncio.sleep(2.0 + 0.1 * seed)
    knows = fleet.nodes["node-0"].membership
    lost = [member.node_id for member in watchers.watchers_of(knows)]
    lose(fleet, lost)
    await asyncio.sleep(_LEADS_S[seed % len(_LEADS_S)])
    fleet.change_routes(2)
    left = [node for node in fleet.living() if node.name not in lost]
    return await exchange_model.until(
        lambda: all(node.book.version == 2 for node in left), 30.0
    )


@_SIZES
def test_change_is_in_force_although_all_watchers_are_killed(nodes, places):
    """Guards against a change that waits until their loss is noticed."""
    assert _worst_s(nodes, places, fleets.kill) < _HALF_THE_BOUND_S


@_SIZES
def test_change_is_in_force_although_all_watchers_freeze(nodes, places):
    """Guards against a change that waits for timeouts, one after the other."""
    assert _worst_s(nodes, places, fleets.cut_off) < _HALF_THE_BOUND_S


@_SIZES
def test_change_is_in_force_although_the_store_is_silent_to_all_watchers(
    nodes, places
):
    """Guards against watchers that others see alive, and that hear nothing."""
    assert (
        _worst_s(nodes, places, fleets.cut_off_from_store) < _HALF_THE_BOUND_S
    )


@_SIZES
def test_change_is_in_force_although_cheap_answers_lag_behind(nodes, places):
    """Guards against a promise that rests on answers of any age."""
    worst_s = _worst_s(nodes, places, fleets.cut_off, stale_lag_s=6.0)
    assert worst_s < _HALF_THE_BOUND_S
