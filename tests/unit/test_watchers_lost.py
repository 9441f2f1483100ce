"""Changes at the time of a failure of all nodes that watch the store.

Runs the real controllers of all nodes in virtual time (`exchange_model`). A
change must be active within two seconds at the unaffected nodes. On a machine
where processes wait for the CPU, it takes longer than in the model, so half of
that time is required here.
"""

import asyncio

import pytest

from burdockfront import watchers
from burdockfront_bench import exchange_model
from burdockfront_bench import virtual_time
from tests import fleets

_HALF_THE_BOUND_S = 1.0
_SEEDS = range(1, 13)
_SIZES = pytest.mark.parametrize(("nodes", "data_centers"), [(14, 3), (16, 4)])
# Times from the failure to the change; nodes may have detected the failure by
# then or not.
_LEADS_S = (0.0, 0.05, 0.3, 0.8)


def _worst_s(
    nodes: int, data_centers: int, fail: fleets.Loss, stale_lag_s: float = 0.0
) -> float:
    return max(
        virtual_time.run(_delay_s(nodes, data_centers, fail, seed, stale_lag_s))
        for seed in _SEEDS
    )


async def _delay_s(
    nodes: int,
    data_centers: int,
    fail: fleets.Loss,
    seed: int,
    stale_lag_s: float,
) -> float:
    """Returns the time until a change is active at all unaffected nodes."""
    fleet = await fleets.a_settled_fleet(nodes, data_centers, seed)
    fleet.faults.stale_lag_s = stale_lag_s
    # Varies the phase of the nodes' watches and probes.
    await asyncio.sleep(2.0 + 0.1 * seed)
    membership = fleet.nodes["node-0"].membership
    failed = [member.node_id for member in watchers.watchers_of(membership)]
    fail(fleet, failed)
    await asyncio.sleep(_LEADS_S[seed % len(_LEADS_S)])
    fleet.change_routes(2)
    remaining = [node for node in fleet.living() if node.name not in failed]
    return await exchange_model.until(
        lambda: all(node.book.version == 2 for node in remaining), 30.0
    )


@_SIZES
def test_change_is_active_although_all_watchers_are_killed(nodes, data_centers):
    """Guards against a change that waits until their failure is detected."""
    assert _worst_s(nodes, data_centers, fleets.kill) < _HALF_THE_BOUND_S


@_SIZES
def test_change_is_active_although_all_watchers_freeze(nodes, data_centers):
    """Guards against a change that waits for a series of timeouts."""
    assert _worst_s(nodes, data_centers, fleets.cut_off) < _HALF_THE_BOUND_S


@_SIZES
def test_change_is_active_although_the_store_answers_no_watcher(
    nodes, data_centers
):
    """Guards against watchers that are alive to peers, but receive nothing."""
    assert (
        _worst_s(nodes, data_centers, fleets.cut_off_from_store)
        < _HALF_THE_BOUND_S
    )


@_SIZES
def test_change_is_active_although_stale_answers_lag_behind(
    nodes, data_centers
):
    """Guards against a bound that depends on the age of stale answers."""
    worst_s = _worst_s(nodes, data_centers, fleets.cut_off, stale_lag_s=6.0)
    assert worst_s < _HALF_THE_BOUND_S
