"""Discovery of nodes at the start, through keys in the store.

The two longest-running nodes of each data centre each keep a key with their
address in the store, under a lease. A starting node reads the keys and joins
the cluster through the nodes of its own data centre; if fewer than two of them
are listed, it registers a key itself. Nothing else about members is read from
the store: which nodes are alive, leave or have free slots is gossiped. So an
outage of the store, a lapse of all leases, or a store that rejects some nodes
does not affect running nodes.

If every node kept a key, 194 nodes that start together would send the store
2,545 requests before the first request of a caller, and each would fetch the
tables of all other nodes.

The keys matter only to starting nodes. They are renewed rarely, and written
again at once when the store recovers from an outage.
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

# Everything that nodes keep in the store is read with one request.
_ALL = "burdockfront/"
PREFIX = f"{_ALL}nodes/"
# For this long after a VM is removed for good, starting nodes still try to
# reach it.
_LEASE_S = 60.0
# A lapsed key is detected by the next renewal, which costs a tenth of a read.
_RENEW_S = 10.0
_RETRY_S = 0.5
# Registered nodes check whether they miss other registered nodes: soon after
# their start, since all may start at once and each sees only those that were
# faster; and rarely later, since nothing else connects two regions whose nodes
# were replaced during a partition.
_FIRST_LOOK_S = 0.5
_MAX_LOOK_S = 30.0
# One of them may have just been lost. If both are lost at once, other nodes
# register within seconds.
_REGISTERED_NODES = 2
# A single peer may be as new, or as cut off, as this node.
_ENOUGH = 2
# Processes that were all killed at once start within a second of each other.
# The first one must not wait longer for listed nodes that are gone.
_MAX_ATTEMPTS = 3
_ATTEMPT_PAUSE_S = 0.4
# How often a node checks whether it should register now.
_CHECK_S = 2.0
_ADDRESS = re.compile(r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")


@dataclasses.dataclass(frozen=True, slots=True)
class RegisteredNode:
    """A node that is listed in the store.

    Attributes:
        address: Where it receives messages of peers.
        data_center: Its data centre.
    """

    address: str
    data_center: str


def _ignore(item: store_lib.Item) -> None:
    pass


class Directory:
    """Registers this node in the store, and joins the registered ones.

    Args:
        store: Client of the store.
        exchange: Synchronises tables with a peer.
        rng: Source of randomness.
        on_other: Called with each other item that nodes keep in the store.
    """

    def __init__(
        self,
        store: store_lib.StoreClient,
        exchange: exchange_lib.Exchange,
        rng: random.Random,
        on_other: Callable[[store_lib.Item], None] = _ignore,
    ):
        self._on_other = on_other
        self._store = store
        self._exchange = exchange
        self._rng = rng
        self._lease: store_lib.Lease | None = None
        self._left = False
        self._renew_now = asyncio.Event()
        # Before it has read the keys, a node can't tell whether to register.
        self._has_joined = asyncio.Event()

    def on_store_recovered(self) -> None:
        """Renews the key at once, as its lease may have lapsed in an outage."""
        self._renew_now.set()

    async def register_forever(self) -> None:
        """Keeps this node registered while it is one of the longest-running."""
        await self._has_joined.wait()
        while not self._left:
            self._renew_now.clear()
            pause_s = _CHECK_S
            if self._should_register():
                try:
                    await self.register()
                    pause_s = _RENEW_S * self._rng.uniform(0.8, 1.0)
                except errors.PlatformError as error:
                    _LOG.info(
                        "not registered in the store", extra={"why": str(error)}
                    )
                    pause_s = _RETRY_S * self._rng.uniform(0.5, 1.5)
            await self._wait(pause_s)

    async def look_forever(self) -> None:
        """Joins registered nodes that are not members, at growing intervals."""
        await self._has_joined.wait()
        pause_s = _FIRST_LOOK_S
        while True:
            await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))
            pause_s = min(_MAX_LOOK_S, pause_s * 2)
            if not self._should_register():
                continue
            try:
                missing = self._missing(await self._read(stale=True))
            except errors.PlatformError as error:
                _LOG.info("directory not read", extra={"why": str(error)})
                continue
            if missing:
                addresses = [node.address for node in missing]
                await self._join(addresses, len(addresses))

    async def join(self) -> None:
        """Joins the cluster once, at the start.

        If too few nodes of its data centre are registered, this node registers
        and reads again: of two nodes that start at once, at least one finds the
        other.

        Raises:
            PlatformUnavailableError: The store did not answer.
        """
        try:
            nodes = await self._read()
            if len(self._near(nodes)) < _REGISTERED_NODES:
                await self.register()
                nodes = await self._read()
            for _ in range(_MAX_ATTEMPTS):
                if not self._missing(nodes):
                    return
                if await self._join_through(nodes):
                    return
                await asyncio.sleep(_ATTEMPT_PAUSE_S)
        finally:
            self._has_joined.set()

    async def _join_through(self, nodes: list[RegisteredNode]) -> bool:
        """Joins through some of the registered nodes.

        Near nodes are tried first, because each answer transfers whole tables.
        Far nodes are tried if no near one is registered, or none answers.

        Returns:
            Whether any registered node answered.
        """
        missing = self._missing(nodes)
        near = [node.address for node in self._near(missing)]
        far = [n.address for n in missing if n.address not in near]
        joined = bool(near) and await self._join(near, _ENOUGH) > 0
        if not joined and far:
            joined = await self._join(far, _ENOUGH) > 0
        return joined

    async def _join(self, addresses: list[str], enough: int) -> int:
        return await self._exchange.join(addresses, enough, configured=False)

    async def _read(self, stale: bool = False) -> list[RegisteredNode]:
        page = await self._store.read(_ALL, stale)
        found = []
        for item in page.items:
            if item.key.startswith(PREFIX):
                found.append(_registered_node_of(item))
            else:
                self._on_other(item)
        return [node for node in found if node is not None]

    def _missing(self, nodes: list[RegisteredNode]) -> list[RegisteredNode]:
        """Returns the registered nodes that are not usable members."""
        members = self._exchange.membership.usable()
        known = {member.address for member in members}
        return [node for node in nodes if node.address not in known]

    def _near(self, nodes: list[RegisteredNode]) -> list[RegisteredNode]:
        local = self._exchange.membership.local_member
        return [
            node
            for node in nodes
            if node.data_center == local.data_center
            and node.address != local.address
        ]

    def _should_register(self) -> bool:
        """Whether this node is one of the nodes that keep a key."""
        membership = self._exchange.membership
        oldest = membership.longest_running(membership.local_member.data_center)
        names = [member.node_id for member in oldest[:_REGISTERED_NODES]]
        return membership.local_member.node_id in names

    async def leave(self) -> None:
        """Removes this node's key; if the store is unavailable, it lapses.

        Call this at the beginning of a shutdown, not at its end: a slow store
        then answers while requests are still running. As the last step, it
        delayed the exit by a second and a half beyond the time at which the
        process is killed.
        """
        self._left = True
        self._renew_now.set()
        if self._lease is None:
            return
        try:
            await self._store.end(self._lease)
        except errors.PlatformError as error:
            _LOG.info(
                "key not removed from the store", extra={"why": str(error)}
            )

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
        local = self._exchange.membership.local_member
        value = orjson.dumps(
            {"address": local.address, "data_center": local.data_center}
        )
        write = store_lib.Write(PREFIX + local.node_id, value, lease.lease_id)
        # The value is the same each time, so a write whose answer was lost is
        # safe to repeat.
        await self._store.write((write,))
        self._lease = lease

    async def _wait(self, pause_s: float) -> None:
        try:
            async with asyncio.timeout(pause_s):
                await self._renew_now.wait()
        except TimeoutError:
            return


def _registered_node_of(item: store_lib.Item) -> RegisteredNode | None:
    """Parses the item of a registered node; None if it is not valid."""
    try:
        value = orjson.loads(item.value)
        address = value["address"]
        data_center = value.get("data_center", "")
    except (orjson.JSONDecodeError, AttributeError, KeyError, TypeError):
        address = None
    if isinstance(address, str) and _ADDRESS.match(address):
        return RegisteredNode(address, str(data_center))
    _LOG.warning(
        "a key of the directory can't be parsed; remove it",
        extra={"key": item.key},
    )
    return None
