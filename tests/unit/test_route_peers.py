"""Route tables are fetched in time from the peers that announce them."""

import asyncio
import random
from typing import Any

from burdockfront import errors
from burdockfront import routes
from burdockfront_bench import virtual_time
from burdockfront_node.controllers import peer_link
from burdockfront_node.controllers import route_peers
from tests import builders

# A tenth of the time within which a change must be active.
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
            raise errors.DispatchError("no answer")
        await asyncio.sleep(0.001)
        return {"routes": self._table.to_json()}


class _World:
    """One node to which peers announce version 5."""

    def __init__(self) -> None:
        self.resolver = routes.RouteResolver(random.Random(1))
        self.link = _Link(5)
        self.failures_s: list[float] = []
        self.peers = route_peers.RoutePeers(
            self.resolver,
            self.link,
            lambda table, source: self.resolver.accept(table),
            self._on_fetch_failure,
        )

    def _on_fetch_failure(self) -> None:
        self.failures_s.append(asyncio.get_running_loop().time())

    def announce_from(self, *addresses: str) -> None:
        for address in addresses:
            self.peers.fetch(address, 5, 0.0)


def test_table_comes_from_another_peer_when_the_first_froze_after_announcing():
    """Guards against waiting a second for a peer that will not answer."""

    async def scenario() -> int:
        world = _World()
        world.announce_from(_FROZEN, "good:1")
        await asyncio.sleep(_SOON_S)
        return world.resolver.version

    assert virtual_time.run(scenario()) == 5


def test_peer_that_announces_while_a_frozen_one_is_asked_is_asked_too():
    """Guards against announcements dropped because a fetch is in flight."""

    async def scenario() -> int:
        world = _World()
        world.announce_from(_FROZEN)
        await asyncio.sleep(0.05)
        world.announce_from("good:1")
        await asyncio.sleep(_SOON_S)
        return world.resolver.version

    assert virtual_time.run(scenario()) == 5


def test_failure_is_reported_soon_when_the_only_announcing_peer_froze():
    """Guards against waiting for the timeout when no other peer can be asked.

    The store is asked as soon as the failure is reported.
    """

    async def scenario() -> list[float]:
        world = _World()
        world.announce_from(_FROZEN)
        await asyncio.sleep(5.0)
        return world.failures_s

    [failure_s] = virtual_time.run(scenario())
    assert failure_s < _SOON_S


def test_one_fetch_serves_all_announcements_of_a_version():
    """Guards against fetching a table from each peer that announces it."""

    async def scenario() -> list[str]:
        world = _World()
        world.announce_from("good:1", "good:2", "good:3")
        await asyncio.sleep(1.0)
        world.announce_from("good:4")
        await asyncio.sleep(1.0)
        return world.link.asked

    assert virtual_time.run(scenario()) == ["good:1"]
