"""Fleets of model nodes for tests, and ways to lose nodes of them."""

import asyncio
from collections.abc import Callable

from burdockfront_bench import exchange_model

START_S = 12.0


async def a_settled_fleet(
    nodes: int, data_centers: int, seed: int
) -> exchange_model.Fleet:
    """Returns a fleet whose nodes know each other and have a route table."""
    fleet = exchange_model.Fleet(nodes, data_centers, seed)
    await fleet.start_all()
    await asyncio.sleep(START_S)
    fleet.change_routes(1)
    await asyncio.sleep(2.0)
    assert exchange_model.all_have(fleet, 1)
    assert exchange_model.all_know_all(fleet)
    return fleet


Loss = Callable[[exchange_model.Fleet, list[str]], None]


def kill(fleet: exchange_model.Fleet, names: list[str]) -> None:
    """Kills processes: their VMs refuse connections at once."""
    for name in names:
        fleet.kill(int(name.partition("-")[2]))


def cut_off(fleet: exchange_model.Fleet, names: list[str]) -> None:
    """Freezes processes, or partitions their VMs: requests get no answer."""
    fleet.faults.cut.update(names)
    fleet.faults.store_silent.update(names)


def cut_off_from_store(fleet: exchange_model.Fleet, names: list[str]) -> None:
    """Cuts nodes off from the store only: other nodes still reach them."""
    fleet.faults.store_silent.update(names)
