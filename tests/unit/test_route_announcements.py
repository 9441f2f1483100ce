"""News of a table reaches members who live, whoever else was drawn."""

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
_PLACES = ("dc0", "dc1", "dc2")
# As long as a push is waited for.
_TIMEOUT_S = 0.4


class _Place:
    """What node n0 of dc0 knows, and whom its news reaches when."""

    def __init__(self, each: int, silent: set[str], seed: int = 1):
        rng = random.Random(seed)
        me = builders.a_member("n0", data_center="dc0")
        self.known = membership_lib.Membership(me, membership_lib.Timing(), rng)
        for number in range(1, each * len(_PLACES)):
            member = builders.a_member(
                f"n{number}", data_center=_PLACES[number % len(_PLACES)]
            )
            self.known.merge(member.to_entry(), 0.0)
        self._silent = silent
        self.reached_s: dict[str, float] = {}
        self.asked: list[str] = []
        self.recorder = timeline.Recorder("n0", "dc0", 100)
        self.announcer = route_announcements.RouteAnnouncer(
            self.known, self._push, _FANOUT, self.recorder, rng
        )

    async def _push(self, member: members_lib.Member) -> bool:
        self.asked.append(member.node_id)
        if member.node_id in self._silent:
            await asyncio.sleep(_TIMEOUT_S)
            return False
        now_s = asyncio.get_running_loop().time()
        self.reached_s.setdefault(member.node_id, now_s)
        return True

    def places_reached(self) -> set[str]:
        found = (self.known.get(name) for name in self.reached_s)
        return {member.data_center for member in found if member is not None}

    def silent_told(self) -> list[str]:
        events = self.recorder.select(timeline.Filter(), 100)
        return [n for e in events for n in e.detail["silent"]]


async def _tell_and_wait(place: _Place, first: bool = True) -> None:
    place.announcer.announce(1, False)
    await asyncio.sleep(5.0)
    place.reached_s.clear()
    place.asked.clear()
    place.announcer.announce(2, first)
    await asyncio.sleep(5.0)


def _names(data_center: int, numbers: range) -> set[str]:
    return {f"n{data_center + len(_PLACES) * number}" for number in numbers}


@pytest.mark.parametrize("seed", range(1, 9))
def test_members_who_do_not_answer_are_made_up_for(seed):
    """Guards against news that only lost members were told."""

    async def scenario() -> _Place:
        # Five of seven others of the own data centre are frozen.
        place = _Place(8, _names(0, range(1, 6)), seed)
        await _tell_and_wait(place)
        return place

    place = virtual_time.run(scenario())
    assert _names(0, range(6, 8)) <= place.reached_s.keys()
    assert place.silent_told(), "who did not answer can be found in the log"


@pytest.mark.parametrize("seed", range(1, 9))
def test_first_one_who_knows_tells_each_data_center(seed):
    """Guards against a data centre that hears of a change by probes alone."""

    async def scenario() -> set[str]:
        place = _Place(4, _names(1, range(0, 3)), seed)
        await _tell_and_wait(place)
        return place.places_reached()

    assert virtual_time.run(scenario()) == set(_PLACES)


def test_whoever_heard_from_its_own_data_center_tells_few_far_ones():
    """Guards against bytes between data centres that grow with the nodes."""

    async def scenario() -> int:
        told = 0
        for seed in range(20):
            place = _Place(20, set(), seed)
            await _tell_and_wait(place, first=False)
            told += sum(
                place.known.get(name).data_center != "dc0"
                for name in place.asked
            )
        return told

    # Twenty nodes together tell about one of each other one in a round.
    assert virtual_time.run(scenario()) <= 12


def test_first_table_of_a_process_is_told_to_few():
    """Guards against a start of all that costs most of a day's bytes."""

    async def scenario() -> list[str]:
        place = _Place(20, set())
        place.announcer.announce(1, True)
        await asyncio.sleep(5.0)
        return place.asked

    assert len(virtual_time.run(scenario())) <= 2 * (_FANOUT + 1)


def test_node_that_reaches_nobody_stops_trying():
    """Guards against endless pushes of a node that is cut off."""

    async def scenario() -> int:
        place = _Place(40, {f"n{number}" for number in range(120)})
        await _tell_and_wait(place)
        return len(place.asked)

    assert virtual_time.run(scenario()) <= 40


def test_newer_version_ends_the_telling_of_the_one_before():
    """Guards against pushes that pile up while changes come one by one."""

    async def scenario() -> int:
        place = _Place(20, set())
        for version in range(20):
            place.announcer.announce(version, True)
            await asyncio.sleep(0.01)
        await asyncio.sleep(5.0)
        return len(place.asked)

    # First rounds of all, and the second round of the last.
    assert virtual_time.run(scenario()) <= 21 * (_FANOUT + 2)
