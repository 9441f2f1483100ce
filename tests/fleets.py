"""Fleets of the model of many nodes, as tests begin with them."""

import asyncio

from burdockfront_bench import exchange_model

START_S = 12.0


async def a_settled_fleet(
    nodes: int, places: int, seed: int
) -> exchange_model.Fleet:
    """Returns a fleet whose nodes know each other and a table."""
    fleet = exchange_model.Fleet(nodes, places, seed)
    await fleet.start_all()
    await asyncio.sleep(START_S)
    fleet.change_routes(1)
    await asyncio.sleep(2.0)
    assert exchange_model.all_have(fleet, 1)
    assert exchange_model.all_know_all(fleet)
    return fleet
