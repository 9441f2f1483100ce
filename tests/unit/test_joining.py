"""Whom a node looks for after it has joined."""

import asyncio
import random
import types

from burdockfront import timeline
from burdockfront_node.controllers import joining as joining_lib
from tests import builders


class _Seeds:
    """Seeds of the platform's service; counts how often it was asked."""

    def __init__(self, addresses: list[str]):
        self._addresses = addresses
        self.reads = 0

    async def read(self) -> list[str]:
        self.reads += 1
        return self._addresses


def _a_joining(
    known: list[str], watching: bool, seeds: _Seeds
) -> joining_lib.Joining:
    members = [
        builders.a_member(f"n{index}", address=address)
        for index, address in enumerate(known)
    ]
    exchange = types.SimpleNamespace(
        membership=types.SimpleNamespace(usable=lambda: members)
    )
    return joining_lib.Joining(
        ["10.0.0.1:1", "10.0.0.2:1"],
        True,
        seeds,
        types.SimpleNamespace(watching=lambda: watching),
        exchange,
        asyncio.Event(),
        timeline.Recorder("n0", "dc1", 10),
        random.Random(1),
    )


def test_seeds_that_are_members_are_not_looked_for():
    seeds = _Seeds(["10.9.0.1:1"])
    joining = _a_joining(["10.0.0.1:1", "10.0.0.2:1"], False, seeds)
    assert asyncio.run(joining.missing()) == []
    assert seeds.reads == 0


def test_seed_of_the_settings_that_is_no_member_is_looked_for():
    joining = _a_joining(["10.0.0.2:1"], False, _Seeds([]))
    assert asyncio.run(joining.missing()) == ["10.0.0.1:1"]


def test_watcher_looks_for_a_region_whose_nodes_were_all_replaced():
    # Two regions lost each other, and one of them was replaced meanwhile,
    # with new addresses. Neither knows a member of the other any more, and
    # each serves on without the other's backend servers. The platform's
    # service has seeds of both.
    seeds = _Seeds(["10.9.0.1:1", "10.0.0.1:1"])
    joining = _a_joining(["10.0.0.1:1", "10.0.0.2:1"], True, seeds)
    assert asyncio.run(joining.missing()) == ["10.9.0.1:1"]
