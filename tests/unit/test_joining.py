"""Which nodes a node contacts at its start and after it has joined."""

import asyncio
import random
import types

from burdockfront import members as members_lib
from burdockfront import timeline
from burdockfront_node.controllers import joining as joining_lib
from tests import builders


class _Seeds:
    """Seeds of the platform's service, with a count of reads."""

    def __init__(self, addresses: list[str]):
        self._addresses = addresses
        self.reads = 0

    async def read(self) -> list[str]:
        self.reads += 1
        return self._addresses


class _Exchange:
    """An exchange with fixed members, and a fixed number of ready peers."""

    def __init__(self, members: list[members_lib.Member], ready_peers: int):
        self.membership = types.SimpleNamespace(usable=lambda: members)
        self.asked: list[str] = []
        self._ready_peers = ready_peers

    async def join(self, addresses: list[str], enough: int) -> int:
        self.asked += addresses
        return min(self._ready_peers, len(addresses))


class _Joining(joining_lib.Joining):
    """Joining, with attributes that tests inspect."""

    ready: asyncio.Event
    exchange_asks: list[str]


async def _reads_nothing() -> bool:
    return False


async def _first_attempt(joining: joining_lib.Joining) -> None:
    """Runs the first attempt of a node to join."""
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
        types.SimpleNamespace(watching=lambda: watching, read=_reads_nothing),
        exchange,
        ready,
        timeline.Recorder("n0", "dc1", 10),
        random.Random(1),
    )
    joining.ready = ready
    joining.exchange_asks = exchange.asked
    return joining


def test_seeds_that_are_members_are_not_missing():
    seeds = _Seeds(["10.9.0.1:1"])
    joining = _a_joining(["10.0.0.1:1", "10.0.0.2:1"], False, seeds)
    assert asyncio.run(joining.missing()) == []
    assert seeds.reads == 0


def test_seed_of_the_settings_that_is_no_member_is_missing():
    joining = _a_joining(["10.0.0.2:1"], False, _Seeds([]))
    assert asyncio.run(joining.missing()) == ["10.0.0.1:1"]


def test_starting_node_asks_members_that_contacted_it():
    # All seeds are gone and the platform service is down. Peers that knew the
    # previous process probe the address of this node and exchange members with
    # it. Yet the node did not ask them and waited for the end of the outage,
    # with its backend server idle.
    seeds = _Seeds([])
    joining = _a_joining(["10.0.0.9:1"], False, seeds)
    asked = joining.exchange_asks
    asyncio.run(_first_attempt(joining))
    assert "10.0.0.9:1" in asked


def test_starting_node_does_not_wait_for_the_platform_if_peers_answer():
    # The platform service is down, and each request to it takes its full
    # timeout. The node asked it first although a ready peer could answer,
    # and rejected callers for two more seconds.
    seeds = _Seeds([])
    joining = _a_joining(["10.0.0.9:1"], False, seeds, ready_peers=1)
    asyncio.run(_first_attempt(joining))
    assert joining.ready.is_set()
    assert seeds.reads == 0


def test_watcher_contacts_a_region_whose_nodes_were_all_replaced():
    # Two regions were partitioned, and all nodes of one were replaced
    # meanwhile, with new addresses. Neither region knows a member of the other
    # any more, and each keeps serving without the other's backend servers. The
    # platform's service lists seeds of both.
    seeds = _Seeds(["10.9.0.1:1", "10.0.0.1:1"])
    joining = _a_joining(["10.0.0.1:1", "10.0.0.2:1"], True, seeds)
    assert asyncio.run(joining.missing()) == ["10.9.0.1:1"]
