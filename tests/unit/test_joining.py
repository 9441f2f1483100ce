"""Whom a node looks for after it has joined."""

import asyncio
import random
import types

from burdockfront import members as members_lib
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


class _Exchange:
    """Knows some members; so many of those it asks are ready."""

    def __init__(self, members: list[members_lib.Member], ready_peers: int):
        self.membership = types.SimpleNamespace(usable=lambda: members)
        self.asked: list[str] = []
        self._ready_peers = ready_peers

    async def join(self, addresses: list[str], enough: int) -> int:
        self.asked += addresses
        return min(self._ready_peers, len(addresses))


class _Joining(joining_lib.Joining):
    """With what the tests look at."""

    ready: asyncio.Event
    exchange_asks: list[str]


async def _never_read() -> bool:
    return False


async def _first_try(joining: joining_lib.Joining) -> None:
    """Lets a node join until it first has to wait."""
    task = asyncio.create_task(joining.join_forever())
    await asyncio.sleep(0.05)
    task.cancel()


def _a_joining(
    known: list[str], watching: bool, seeds: _Seeds, ready_peers: int = 0
) -> _Joining:
    members = [
        builders.a_member(f"n{index}", address=address)
        for index, address in enumerate(known)
    ]
    exchange = _Exchange(members, ready_peers)
    ready = asyncio.Event()
    joining = _Joining(
        ["10.0.0.1:1", "10.0.0.2:1"],
        True,
        seeds,
        types.SimpleNamespace(watching=lambda: watching, read=_never_read),
        exchange,
        ready,
        timeline.Recorder("n0", "dc1", 10),
        random.Random(1),
    )
    joining.ready = ready
    joining.exchange_asks = exchange.asked
    return joining


def test_seeds_that_are_members_are_not_looked_for():
    seeds = _Seeds(["10.9.0.1:1"])
    joining = _a_joining(["10.0.0.1:1", "10.0.0.2:1"], False, seeds)
    assert asyncio.run(joining.missing()) == []
    assert seeds.reads == 0


def test_seed_of_the_settings_that_is_no_member_is_looked_for():
    joining = _a_joining(["10.0.0.2:1"], False, _Seeds([]))
    assert asyncio.run(joining.missing()) == ["10.0.0.1:1"]


def test_starting_node_asks_members_that_found_it():
    # Its seeds are gone and the platform service is down. Peers that knew the
    # process before it probe its address and exchange members with it, yet it
    # waited for the end of the outage with the backend server idle.
    seeds = _Seeds([])
    joining = _a_joining(["10.0.0.9:1"], False, seeds)
    asked = joining.exchange_asks
    asyncio.run(_first_try(joining))
    assert "10.0.0.9:1" in asked


def test_starting_node_does_not_wait_for_the_platform_if_peers_answer():
    # The platform service is down, and each question costs its timeout. With
    # a ready peer at hand the answer is known, and callers of this node were
    # refused for two seconds more.
    seeds = _Seeds([])
    joining = _a_joining(["10.0.0.9:1"], False, seeds, ready_peers=1)
    asyncio.run(_first_try(joining))
    assert joining.ready.is_set()
    assert seeds.reads == 0


def test_watcher_looks_for_a_region_whose_nodes_were_all_replaced():
    # Two regions lost each other, and one of them was replaced meanwhile,
    # with new addresses. Neither knows a member of the other any more, and
    # each serves on without the other's backend servers. The platform's
    # service has seeds of both.
    seeds = _Seeds(["10.9.0.1:1", "10.0.0.1:1"])
    joining = _a_joining(["10.0.0.1:1", "10.0.0.2:1"], True, seeds)
    assert asyncio.run(joining.missing()) == ["10.9.0.1:1"]
