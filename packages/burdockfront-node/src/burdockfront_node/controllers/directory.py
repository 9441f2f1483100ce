"""Where nodes find each other when they start.

The two longest-running nodes of each data centre keep a key with their address
in the store, alive by a lease. A node that starts reads the keys and joins the
exchange through those of its own data centre; a node that finds fewer than two
of them there writes a key itself. That is all the store is asked for: who
lives, who leaves and who has room is exchanged between the nodes, so an outage
of the store, a lapse of all leases, or a store that turns some nodes away
changes nothing for those that run.

Were each node to keep a key, 194 nodes that start together would ask the store
2,545 times before the first request, and each would ask all the others for
their tables.

The keys matter only to nodes that start. They are renewed seldom, and written
again at once when the store is back after an outage.
"""

import asyncio
import dataclasses
import logging
import random
import re
from collections.abc import Callable

import orjson

from burdockfront import errors
from burdockfront_node.controllers import exchange as exchange_lib
from burdockfront_node.controllers import store as store_lib

_LOG = logging.getLogger(__name__)

# All that nodes keep in the store is read with one question.
_ALL = "burdockfront/"
PREFIX = f"{_ALL}nodes/"
# A VM that is gone for good is asked in vain by starting nodes for this long.
_LEASE_S = 60.0
# A lapsed key is found out by the next renewal, a tenth of a read each.
_RENEW_S = 10.0
_RETRY_S = 0.5
# Those that keep a key look whether they miss others who do: soon after their
# start, since all may start at once and each sees only those that were quicker;
# and seldom later, since two regions that were replaced while apart have nobody
# else to bring them together.
_FIRST_LOOK_S = 0.5
_MOST_LOOK_S = 30.0
# One may have been lost a moment ago; both at once are replaced within seconds.
_KEEPERS = 2
# One peer may be as new, or as cut off, as this node.
_ENOUGH = 2
# Processes that were all killed at once start within a second of each other;
# a node that is the first one must not wait longer for those that are gone.
_TRIES = 3
_TRY_PAUSE_S = 0.4
# How often a node looks whether it is to keep a key now.
_CHECK_S = 2.0
_ADDRESS = re.compile(r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where a node takes messages of others, and its data centre."""

    address: str
    data_center: str


def _leave_out(item: store_lib.Item) -> None:
    pass


class Directory:
    """This node's key, and those of the others.

    Args:
        store: Client of the store.
        exchange: Exchanges everything with a peer.
        rng: Source of randomness.
        on_other: Takes what else nodes keep in the store.
    """

    def __init__(
        self,
        store: store_lib.StoreClient,
        exchange: exchange_lib.Exchange,
        rng: random.Random,
        on_other: Callable[[store_lib.Item], None] = _leave_out,
    ):
        self._on_other = on_other
        self._store = store
        self._exchange = exchange
        self._rng = rng
        self._lease: store_lib.Lease | None = None
        self._left = False
        self._renew_now = asyncio.Event()
        # Before it has read the keys, a node can't tell whether it needs one.
        self._has_joined = asyncio.Event()

    def on_store_recovered(self) -> None:
        """Notes that the store answers again: the lease may have lapsed."""
        self._renew_now.set()

    async def register_forever(self) -> None:
        """Keeps this node's key while it is one of those who have one."""
        await self._has_joined.wait()
        while not self._left:
            self._renew_now.clear()
            pause_s = _CHECK_S
            if self._keeps():
                try:
                    await self.register()
                    pause_s = _RENEW_S * self._rng.uniform(0.8, 1.0)
                except errors.PlatformError as error:
                    _LOG.info("not registered", extra={"why": str(error)})
                    pause_s = _RETRY_S * self._rng.uniform(0.5, 1.5)
            await self._wait(pause_s)

    async def look_forever(self) -> None:
        """Joins those that this node does not know, now and then."""
        await self._has_joined.wait()
        pause_s = _FIRST_LOOK_S
        while True:
            await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))
            pause_s = min(_MOST_LOOK_S, pause_s * 2)
            if not self._keeps():
                continue
            try:
                missing = self._missing(await self._read(stale=True))
            except errors.PlatformError as error:
                _LOG.info("directory not read", extra={"why": str(error)})
                continue
            if missing:
                addresses = [place.address for place in missing]
                await self._join(addresses, len(addresses))

    async def join(self) -> None:
        """Joins the others, once at the start.

        Where its own data centre lists too few, this node registers and reads
        again: of two nodes that start at once one at least finds the other.

        Raises:
            PlatformUnavailableError: The store did not answer.
        """
        try:
            places = await self._read()
            if len(self._near(places)) < _KEEPERS:
                await self.register()
                places = await self._read()
            for _ in range(_TRIES):
                if not self._missing(places):
                    return
                if await self._join_through(places):
                    return
                await asyncio.sleep(_TRY_PAUSE_S)
        finally:
            self._has_joined.set()

    async def _join_through(self, places: list[Place]) -> bool:
        """Returns whether any node of the directory answered.

        Near ones first, for a whole table comes with each answer. A node that
        is the first of its data centre asks others, and so does one whose
        neighbours are all gone.
        """
        missing = self._missing(places)
        near = [place.address for place in self._near(missing)]
        far = [p.address for p in missing if p.address not in near]
        joined = bool(near) and await self._join(near, _ENOUGH) > 0
        if not joined and far:
            joined = await self._join(far, _ENOUGH) > 0
        return joined

    async def _join(self, addresses: list[str], enough: int) -> int:
        return await self._exchange.join(addresses, enough, configured=False)

    async def _read(self, stale: bool = False) -> list[Place]:
        page = await self._store.read(_ALL, stale)
        found = []
        for item in page.items:
            if item.key.startswith(PREFIX):
                found.append(_place_of(item))
            else:
                self._on_other(item)
        return [place for place in found if place is not None]

    def _missing(self, places: list[Place]) -> list[Place]:
        """Returns those that are no members."""
        members = self._exchange.membership.usable()
        known = {member.address for member in members}
        return [place for place in places if place.address not in known]

    def _near(self, places: list[Place]) -> list[Place]:
        mine = self._exchange.membership.me
        return [
            place
            for place in places
            if place.data_center == mine.data_center
            and place.address != mine.address
        ]

    def _keeps(self) -> bool:
        """Whether this node is one of those who keep a key."""
        membership = self._exchange.membership
        oldest = membership.longest_running(membership.me.data_center)
        names = [member.node_id for member in oldest[:_KEEPERS]]
        return membership.me.node_id in names

    async def leave(self) -> None:
        """Removes this node's key; a store that is away lets it lapse.

        To be called when a stop begins, not when it ends: a store that is slow
        then answers while requests still run. As the last step it held the
        process for a second and a half past the time at which it is killed.
        """
        self._left = True
        self._renew_now.set()
        if self._lease is None:
            return
        try:
            await self._store.end(self._lease)
        except errors.PlatformError as error:
            _LOG.info("directory not left", extra={"why": str(error)})

    async def register(self) -> None:
        """Renews this node's key, or writes it.

        Raises:
            PlatformUnavailableError: The store did not answer.
        """
        if self._lease is not None:
            try:
                await self._store.renew(self._lease)
                return
            except store_lib.LeaseGoneError:
                self._lease = None
        lease = await self._store.grant(_LEASE_S)
        me = self._exchange.membership.me
        value = orjson.dumps(
            {"address": me.address, "data_center": me.data_center}
        )
        write = store_lib.Write(PREFIX + me.node_id, value, lease.lease_id)
        # What is written is true in any case, so a write whose answer was
        # lost is simply made again.
        await self._store.write((write,))
        self._lease = lease

    async def _wait(self, pause_s: float) -> None:
        try:
            async with asyncio.timeout(pause_s):
                await self._renew_now.wait()
        except TimeoutError:
            return


def _place_of(item: store_lib.Item) -> Place | None:
    """Returns what a node's key says, or None if it makes no sense."""
    try:
        value = orjson.loads(item.value)
        address = value["address"]
        data_center = value.get("data_center", "")
    except (orjson.JSONDecodeError, AttributeError, KeyError, TypeError):
        address = None
    if isinstance(address, str) and _ADDRESS.match(address):
        return Place(address, str(data_center))
    _LOG.warning(
        "a key of the directory can't be read; remove it",
        extra={"key": item.key},
    )
    return None
