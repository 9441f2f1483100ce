"""Tables of routes are fetched from those who tell of them, in time."""

import asyncio
import random
from typing import Any

from burdockfront import errors
from burdockfront import routes
from burdockfront_bench import virtual_time
from burdockfront_node.controllers import peer_link
from burdockfront_node.controllers import route_peers
from tests import builders

# A tenth of the time in which a change must be in force.
_SOON_S = 0.25
_FROZEN = "frozen:1"


class _Link(peer_link.PeerLink):
    """Peers that answer in a millisecond; frozen ones never do."""

    def __init__(self, version: int):
        super().__init__({}, None)
        self._table = builders.a_table(version=version)
        self.asked: list[str] = []

    async def ask(
        self, address: str, path: str, message: Any, timeout_s: float
    ) -> dict[str, Any]:
        self.asked.append(address)
        if address == _FROZEN:
            await asyncio.sleep(timeout_s)
            raise errors.DispatchError("silent")
        await asyncio.sleep(0.001)
        return {"routes": self._table.to_json()}


class _Place:
    """One node that is told of version 5."""

    def __init__(self) -> None:
        self.book = routes.RouteResolver(random.Random(1))
        self.link = _Link(5)
        self.lost: list[float] = []
        self.peers = route_peers.RoutePeers(
            self.book,
            self.link,
            lambda table, source: self.book.accept(table),
            self._note_lost,
        )

    def _note_lost(self) -> None:
        self.lost.append(asyncio.get_running_loop().time())

    def told_by(self, *addresses: str) -> None:
        for address in addresses:
            self.peers.fetch(address, 5, 0.0)


def test_table_comes_from_another_peer_when_the_first_froze_after_telling():
    """Guards against a second spent on a peer that will not answer."""

    async def scenario() -> int:
        place = _Place()
        place.told_by(_FROZEN, "good:1")
        await asyncio.sleep(_SOON_S)
        return place.book.version

    assert virtual_time.run(scenario()) == 5


def test_peer_that_tells_while_a_frozen_one_is_asked_is_asked_too():
    """Guards against news that is dropped because a fetch is on its way."""

    async def scenario() -> int:
        place = _Place()
        place.told_by(_FROZEN)
        await asyncio.sleep(0.05)
        place.told_by("good:1")
        await asyncio.sleep(_SOON_S)
        return place.book.version

    assert virtual_time.run(scenario()) == 5


def test_store_is_asked_soon_when_the_only_peer_that_told_froze():
    """Guards against news that waits for a timeout with nobody else to ask."""

    async def scenario() -> list[float]:
        place = _Place()
        place.told_by(_FROZEN)
        await asyncio.sleep(5.0)
        return place.lost

    [lost_s] = virtual_time.run(scenario())
    assert lost_s < _SOON_S


def test_one_fetch_serves_all_who_tell_of_a_version():
    """Guards against a table that is fetched from each who tells of it."""

    async def scenario() -> list[str]:
        place = _Place()
        place.told_by("good:1", "good:2", "good:3")
        await asyncio.sleep(1.0)
        place.told_by("good:4")
        await asyncio.sleep(1.0)
        return place.link.asked

    assert virtual_time.run(scenario()) == ["good:1"]
