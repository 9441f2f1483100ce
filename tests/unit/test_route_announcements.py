"""Announcements of a table reach live members, whichever peers are drawn."""

import asyncio
import random

import pytest

from burdockfront import members as members_lib
from burdockfront import membership as membership_lib
from burdockfront import timeline
from burdockfront_bench import virtual_time
from burdockfront_node.controllers import route_announcements
from tests import builders

_FANOUT = 3
_DATA_CENTERS = ("dc0", "dc1", "dc2")
# How long a push waits for its answer.
_TIMEOUT_S = 0.4


class _World:
    """Members known to node n0 of dc0, and the members that its pushes reach.

    Args:
        each: Members of each data centre.
        unresponsive: Names of members that do not answer.
        seed: Seed of the randomness.
    """

    def __init__(self, each: int, unresponsive: set[str], seed: int = 1):
        rng = random.Random(seed)
        local = builders.a_member("n0", data_center="dc0")
        self.known = membership_lib.Membership(
            local, membership_lib.Timing(), rng
        )
        for number in range(1, each * len(_DATA_CENTERS)):
            member = builders.a_member(
                f"n{number}",
                data_center=_DATA_CENTERS[number % len(_DATA_CENTERS)],
            )
            self.known.merge(member.to_entry(), 0.0)
        self._unresponsive = unresponsive
        self.reached_s: dict[str, float] = {}
        self.asked: list[str] = []
        self.recorder = timeline.Recorder("n0", "dc0", 100)
        self.announcer = route_announcements.RouteAnnouncer(
            self.known, self._push, _FANOUT, self.recorder, rng
        )

    async def _push(self, member: members_lib.Member) -> bool:
        self.asked.append(member.node_id)
        if member.node_id in self._unresponsive:
            await asyncio.sleep(_TIMEOUT_S)
            return False
        now_s = asyncio.get_running_loop().time()
        self.reached_s.setdefault(member.node_id, now_s)
        return True

    def data_centers_reached(self) -> set[str]:
        found = (self.known.get(name) for name in self.reached_s)
        return {member.data_center for member in found if member is not None}

    def recorded_unanswered(self) -> list[str]:
        events = self.recorder.select(timeline.Filter(), 100)
        return [n for e in events for n in e.detail["silent"]]


async def _announce_and_wait(world: _World, first: bool = True) -> None:
    world.announcer.announce(1, False)
    await asyncio.sleep(5.0)
    world.reached_s.clear()
    world.asked.clear()
    world.announcer.announce(2, first)
    await asyncio.sleep(5.0)


def _names(data_center: int, numbers: range) -> set[str]:
    return {
        f"n{data_center + len(_DATA_CENTERS) * number}" for number in numbers
    }


@pytest.mark.parametrize("seed", range(1, 9))
def test_unresponsive_peers_are_replaced_by_others(seed):
    """Guards against announcements that go to failed members only."""

    async def scenario() -> _World:
        # Five of the seven peers in the own data centre are frozen.
        world = _World(8, _names(0, range(1, 6)), seed)
        await _announce_and_wait(world)
        return world

    world = virtual_time.run(scenario())
    assert _names(0, range(6, 8)) <= world.reached_s.keys()
    assert world.recorded_unanswered(), "peers without an answer are logged"


@pytest.mark.parametrize("seed", range(1, 9))
def test_first_node_with_an_update_announces_it_to_each_data_center(seed):
    """Guards against a data centre that learns of a change by probes alone."""

    async def scenario() -> set[str]:
        world = _World(4, _names(1, range(0, 3)), seed)
        await _announce_and_wait(world)
        return world.data_centers_reached()

    assert virtual_time.run(scenario()) == set(_DATA_CENTERS)


def test_node_informed_by_its_own_data_center_announces_to_few_far_nodes():
    """Guards against bytes between data centres that grow with the nodes."""

    async def scenario() -> int:
        announced = 0
        for seed in range(20):
            world = _World(20, set(), seed)
            await _announce_and_wait(world, first=False)
            announced += sum(
                world.known.get(name).data_center != "dc0"
                for name in world.asked
            )
        return announced

    # Twenty nodes together reach about one member of each other data centre in
    # a round.
    assert virtual_time.run(scenario()) <= 12


def test_first_table_of_a_process_is_announced_to_few():
    """Guards against a restart of all nodes that costs most of a day's bytes.

    Each of them reads its first table from the store, and would announce it to
    all data centres.
    """

    async def scenario() -> list[str]:
        world = _World(20, set())
        world.announcer.announce(1, True)
        await asyncio.sleep(5.0)
        return world.asked

    assert len(virtual_time.run(scenario())) <= 2 * (_FANOUT + 1)


def test_node_that_no_peer_answers_stops_trying():
    """Guards against endless pushes of a node that is cut off."""

    async def scenario() -> int:
        world = _World(40, {f"n{number}" for number in range(120)})
        await _announce_and_wait(world)
        return len(world.asked)

    assert virtual_time.run(scenario()) <= 40


def test_newer_version_ends_the_announcement_of_the_one_before():
    """Guards against pushes that pile up during a quick series of changes."""

    async def scenario() -> int:
        world = _World(20, set())
        for version in range(20):
            world.announcer.announce(version, True)
            await asyncio.sleep(0.01)
        await asyncio.sleep(5.0)
        return len(world.asked)

    # The first rounds of all versions, and the second round of the last.
    assert virtual_time.run(scenario()) <= 21 * (_FANOUT + 2)
