"""A model of many nodes that start, hear of changes, and lose each other.

The real controllers (exchange, directory, watch of the routes) of all nodes run
in one process under virtual time. The store and the network are modelled: a
message takes the time of its way, is lost or refused as a fault says, and its
bytes are counted. Nothing else of a node runs, so this tells what control costs
and how fast news travels, not what a machine can bear.
"""

import asyncio
import collections
import random
from collections.abc import Callable
from typing import Any

import orjson

from burdockfront import configuration as configuration_lib
from burdockfront import errors
from burdockfront import members as members_lib
from burdockfront import membership as membership_lib
from burdockfront import routes as routes_lib
from burdockfront import timeline
from burdockfront import watchers
from burdockfront_bench import model_store
from burdockfront_node import settings as settings_lib
from burdockfront_node.controllers import directory as directory_lib
from burdockfront_node.controllers import exchange as exchange_lib
from burdockfront_node.controllers import peer_link
from burdockfront_node.controllers import peer_notifier
from burdockfront_node.controllers import (
    quarantine_store as quarantine_store_lib,
)
from burdockfront_node.controllers import route_joining as route_joining_lib
from burdockfront_node.controllers import route_watch as route_watch_lib
from burdockfront_node.controllers import store as store_lib
from burdockfront_node.internal import compression

# One way, as between data centres of a region and within one.
_FAR_S = 0.0014
_NEAR_S = 0.0002
# Heads of a question and of its answer, as HTTP client and server write them.
_HEADS_BYTES = 330
_START_SPREAD_S = 0.3
_OPERATORS_KEY = "op/config"
# A connection that nobody answers is given up, as `peers` does.
_CONNECT_S = 0.5


class _PeerLink(peer_link.PeerLink):
    """The way to other nodes of the model."""

    def __init__(self, fleet: "Fleet", name: str):
        super().__init__({}, None)
        self._fleet = fleet
        self._name = name

    async def ask(
        self,
        address: str,
        path: str,
        message: dict[str, Any],
        timeout_s: float,
    ) -> dict[str, Any]:
        self.sent_bytes += _size_of(message)
        return await self._fleet.carry(
            self._name, address, path, message, timeout_s
        )

    async def close(self) -> None:
        """Nothing is open."""


class Node:
    """The control part of one node."""

    def __init__(self, fleet: "Fleet", number: int, incarnation: int):
        self.name = f"node-{number}"
        self.data_center = f"dc{number % fleet.data_centers}"
        rng = random.Random(f"{fleet.seed} {number} {incarnation}")
        recorder = timeline.Recorder(self.name, self.data_center, 10)
        me = members_lib.Member(
            node_id=self.name,
            boot_id=f"{rng.getrandbits(48):012x}",
            incarnation=incarnation,
            revision=0,
            status=members_lib.Status.ALIVE,
            address=_address_of(number),
            data_center=self.data_center,
            region="region",
        )
        self.membership = membership_lib.Membership(
            me, membership_lib.Timing(), rng
        )
        self.book = routes_lib.RouteResolver(rng)
        self.ready = asyncio.Event()
        self._due = False
        link = _PeerLink(fleet, self.name)
        self.exchange = exchange_lib.Exchange(
            self.membership,
            configuration_lib.Configuration(),
            settings_lib.GossipSettings(),
            link,
            recorder,
            self.ready,
            self._members_changed,
            rng,
            lambda: self.watch.freshness.claim(),
            lambda address, claim: self.watch.heard_of(address, claim),
            self._doubt,
        )
        store: Any = model_store.StoreClient(
            fleet.store, fleet.faults, fleet.costs, self.name, rng
        )
        news = self.exchange.crash_gossip
        self.keeper = quarantine_store_lib.QuarantineStore(
            me.boot_id, store, news.tracker, news.merge
        )
        news.on_quarantined = self.keeper.persist
        self.directory = directory_lib.Directory(
            store, self.exchange, rng, self.keeper.load
        )
        self.watch = route_watch_lib.RouteWatch(
            store,
            "op/",
            _table_of,
            self.book,
            link,
            recorder,
            self._store_returned,
            peer_notifier.ExchangePeerNotifier(self.exchange),
            rng,
        )
        self._joining = route_joining_lib.RouteJoining(
            self.directory,
            self.exchange,
            self.watch,
            self.book,
            recorder,
            self._members_changed,
            self._say_ready,
        )
        self._service = f"service-{number % fleet.services}"
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts what a node does all the time."""
        works = (
            self._joining.become_ready,
            self.directory.register_forever,
            self.directory.look_forever,
            self.watch.watch_forever,
            self.watch.freshness.watch_forever,
            self.watch.checks.check_forever,
            self.keeper.write_forever,
            self.keeper.read_forever,
            self.exchange.probe_forever,
            self.exchange.push_forever,
            self._announce,
        )
        self._tasks = [asyncio.create_task(work()) for work in works]

    def kill(self) -> None:
        """Ends it without a word."""
        for task in self._tasks:
            task.cancel()

    def handler(self, path: str) -> Callable[[dict[str, Any]], Any]:
        """Returns what answers a peer's message."""
        return {
            exchange_lib.PROBE: self.exchange.on_probe,
            exchange_lib.PROBE_FOR: self.exchange.on_probe_for,
            exchange_lib.PUSH: self.exchange.on_push,
            exchange_lib.SYNC: self.exchange.anti_entropy.on_sync,
            route_watch_lib.ROUTES: self.watch.on_peer,
        }[path]

    async def _announce(self) -> None:
        """A backend server is heard of some time after the node's start."""
        await asyncio.sleep(random.Random(self.name).uniform(0.1, 1.5))
        self.exchange.update_local_member(service=self._service, slots=12)

    def _store_returned(self) -> None:
        self.directory.on_store_recovered()
        self.keeper.on_store_recovered()

    def _doubt(self) -> None:
        self.watch.doubt()
        self.keeper.on_probe_failure()

    def _say_ready(self) -> None:
        self.ready.set()

    def _members_changed(self) -> None:
        if not self._due:
            self._due = True
            loop = asyncio.get_running_loop()
            loop.call_later(0.02, self._choose)

    def _choose(self) -> None:
        self._due = False
        self.watch.choose(watchers.watches(self.membership))


class Fleet:
    """All nodes, the store, and the network between them.

    Args:
        nodes: How many nodes.
        data_centers: How many data centres they are spread over.
        seed: Seed of all chance.
        services: How many services the backend servers belong to.
    """

    def __init__(
        self, nodes: int, data_centers: int, seed: int, services: int = 4
    ):
        self.seed = seed
        self.data_centers = data_centers
        self.services = services
        self.store = model_store.Store()
        self.faults = model_store.Faults()
        self.costs = model_store.Costs(
            collections.Counter(), collections.Counter(), collections.Counter()
        )
        self._rng = random.Random(seed)
        self._starts = 0
        self._numbers = range(nodes)
        self.nodes: dict[str, Node] = {}
        self._by_address: dict[str, Node] = {}

    async def start_all(self, spread_s: float = _START_SPREAD_S) -> None:
        """Starts all nodes within a short time, in any order."""
        order = self._rng.sample(self._numbers, len(self._numbers))
        for number in order:
            await asyncio.sleep(spread_s / len(order))
            self.start(number)

    def start(self, number: int) -> None:
        """Starts a node, anew if it has run before."""
        self._starts += 1
        node = Node(self, number, self._starts)
        self.faults.down.discard(node.name)
        self.nodes[node.name] = node
        self._by_address[_address_of(number)] = node
        node.start()

    def kill(self, number: int) -> None:
        """Kills a node's process."""
        name = f"node-{number}"
        self.nodes[name].kill()
        self.faults.down.add(name)

    def change_routes(self, version: int) -> None:
        """Writes a table as operators do."""
        table = routes_lib.RouteTable(version, (_some_routes(),))
        self.store.put(_OPERATORS_KEY, orjson.dumps(table.to_json()))

    def living(self) -> list[Node]:
        """Returns the nodes whose process runs."""
        down = self.faults.down
        return [node for node in self.nodes.values() if node.name not in down]

    async def carry(
        self,
        sender: str,
        address: str,
        path: str,
        message: dict[str, Any],
        timeout_s: float,
    ) -> dict[str, Any]:
        """Carries a message to a node, and its answer back.

        Raises:
            DispatchError: No answer came in time.
        """
        node = self._by_address.get(address)
        here = self.nodes[sender]
        faults = self.faults
        if node is None or node.name in faults.down:
            await asyncio.sleep(_NEAR_S)
            raise errors.DispatchError("refused")
        lost = self._rng.random() < faults.loss
        far = node.data_center != here.data_center
        places = {here.data_center, node.data_center}
        apart = far and bool(places & faults.cut_data_centers)
        if lost or apart or {sender, node.name} & faults.cut:
            await asyncio.sleep(min(timeout_s, _CONNECT_S))
            raise errors.DispatchError("silent")
        way_s = _FAR_S if far else _NEAR_S
        await asyncio.sleep(way_s)
        answer = node.handler(path)(orjson.loads(orjson.dumps(message)))
        if asyncio.iscoroutine(answer):
            answer = await answer
        await asyncio.sleep(way_s)
        size_bytes = _HEADS_BYTES + _size_of(message) + _size_of(answer)
        spent = self.costs.far_bytes if far else self.costs.near_bytes
        spent[path.rpartition("/")[2]] += size_bytes
        found: dict[str, Any] = orjson.loads(orjson.dumps(answer))
        return found


async def until(holds: Callable[[], bool], most_s: float) -> float:
    """Waits until something holds; returns how long that took, or infinity."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    while not holds():
        if loop.time() - began_s > most_s:
            return float("inf")
        await asyncio.sleep(0.02)
    return loop.time() - began_s


def all_have(fleet: Fleet, version: int) -> bool:
    """Whether a version of the routes is in force at all living nodes."""
    return all(node.book.version >= version for node in fleet.living())


def all_know_all(fleet: Fleet) -> bool:
    """Whether all living nodes know the backend servers of all of them."""
    living = fleet.living()
    return all(_known_services(node) == len(living) for node in living)


def _known_services(node: Node) -> int:
    return sum(bool(m.service) for m in node.membership.usable())


def _address_of(number: int) -> str:
    return f"10.0.{number // 250}.{number % 250 + 1}:8300"


def _size_of(message: dict[str, Any]) -> int:
    return len(compression.pack(orjson.dumps(message))[0])


def _table_of(item: store_lib.Item) -> routes_lib.RouteTable | None:
    return routes_lib.table_from_json(orjson.loads(item.value))


def _some_routes() -> routes_lib.VirtualHost:
    return routes_lib.VirtualHost(
        "shop.example",
        tuple(
            routes_lib.Route(
                name=f"route-{number}",
                prefix=f"/{number}/",
                repeat=routes_lib.Repeat.IDEMPOTENT,
                shares=(routes_lib.Share(f"service-{number % 4}", 1.0),),
                timeout_s=5.0,
                target_latency_s=1.0,
                rank=2,
                max_attempts=2,
            )
            for number in range(25)
        ),
    )
