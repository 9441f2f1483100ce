"""Where nodes find each other when they start.

Each node keeps one key with its address in the store, alive by a lease. A node
that starts reads them and joins the exchange through a few. That is all the
store is asked for: who lives, who leaves and who has room is exchanged between
the nodes, so an outage of the store, a lapse of all leases, or a store that
turns some nodes away changes nothing for those that run.

The keys matter only to nodes that start. They are renewed seldom, and written
again at once when the store is back after an outage.
"""

import asyncio
import logging
import random
import re

import orjson

from burdockfront import errors
from burdockfront_node.controllers import exchange as exchange_lib
from burdockfront_node.controllers import store as store_lib

_LOG = logging.getLogger(__name__)

PREFIX = "burdockfront/nodes/"
# A VM that is gone for good is asked in vain by starting nodes for this long.
_LEASE_S = 60.0
# A lapsed key is found out by the next renewal, a tenth of a read each.
_RENEW_S = 10.0
_RETRY_S = 0.5
# A node looks whether it misses members: soon after its start, since all may
# start at once and each sees only those that were quicker; and seldom later,
# since two regions that were replaced while apart have nobody else to bring
# them together.
_FIRST_LOOK_S = 0.5
_MOST_LOOK_S = 30.0
_ENOUGH = 3
_ADDRESS = re.compile(r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")


class Directory:
    """This node's key, and those of the others.

    Args:
        store: Client of the store.
        exchange: Exchanges everything with a peer.
        rng: Source of randomness.
    """

    def __init__(
        self,
        store: store_lib.StoreClient,
        exchange: exchange_lib.Exchange,
        rng: random.Random,
    ):
        self._store = store
        self._exchange = exchange
        self._rng = rng
        self._lease: store_lib.Lease | None = None
        self._left = False
        self._renew_now = asyncio.Event()

    def store_returned(self) -> None:
        """Notes that the store answers again: the lease may have lapsed."""
        self._renew_now.set()

    async def register_forever(self) -> None:
        """Keeps this node's key until it leaves."""
        while not self._left:
            self._renew_now.clear()
            try:
                await self.register()
                pause_s = _RENEW_S * self._rng.uniform(0.8, 1.0)
            except errors.PlatformError as error:
                _LOG.info("not registered", extra={"why": str(error)})
                pause_s = _RETRY_S * self._rng.uniform(0.5, 1.5)
            await self._wait(pause_s)

    async def look_forever(self) -> None:
        """Joins those that this node does not know, now and then."""
        pause_s = _FIRST_LOOK_S
        while True:
            await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))
            pause_s = min(_MOST_LOOK_S, pause_s * 2)
            try:
                await self.join(stale=pause_s >= _MOST_LOOK_S)
            except errors.PlatformError as error:
                _LOG.info("directory not read", extra={"why": str(error)})

    async def join(self, stale: bool = False) -> None:
        """Joins through some nodes of the directory that are no members.

        Raises:
            PlatformUnavailableError: The store did not answer.
        """
        page = await self._store.read(PREFIX, stale)
        members = self._exchange.membership.usable()
        known = {member.address for member in members}
        missing = [
            address
            for address in map(_address_of, page.items)
            if address is not None and address not in known
        ]
        if missing:
            await self._exchange.join(missing, _ENOUGH)

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
            await self._store.end(self._lease.lease_id)
        except errors.PlatformError as error:
            _LOG.info("directory not left", extra={"why": str(error)})

    async def register(self) -> None:
        """Renews this node's key, or writes it.

        Raises:
            PlatformUnavailableError: The store did not answer.
        """
        if self._lease is not None:
            try:
                await self._store.renew(self._lease.lease_id)
                return
            except store_lib.LeaseGoneError:
                self._lease = None
        lease = await self._store.grant(_LEASE_S)
        me = self._exchange.membership.me
        value = orjson.dumps({"address": me.address})
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


def _address_of(item: store_lib.Item) -> str | None:
    """Returns the address in a node's key, or None if it makes no sense."""
    try:
        address = orjson.loads(item.value)["address"]
    except (orjson.JSONDecodeError, KeyError, TypeError):
        address = None
    if isinstance(address, str) and _ADDRESS.match(address):
        return address
    _LOG.warning(
        "a key of the directory can't be read; remove it",
        extra={"key": item.key},
    )
    return None
