"""The store of the model of many nodes, what it costs, and its faults."""

import asyncio
import collections
import dataclasses
import random

from burdockfront import errors
from burdockfront import platform_budget
from burdockfront_node.controllers import store as store_lib

_STORE_S = 0.004
# As the client of the store waits.
_TIMEOUT_S = 1.5
_PING_TIMEOUT_S = 0.5


@dataclasses.dataclass(slots=True)
class Faults:
    """What goes wrong now.

    Attributes:
        down: Names of nodes whose process is gone.
        cut: Names of nodes that reach no other node, and are not reached.
        cut_data_centers: Data centres that reach no other one.
        store_refuses: Names of nodes that the store turns away.
        store_silent: Names of nodes that the store does not answer. An answer
            that falls into that time never comes, nor does another one on its
            connection.
        loss: Part of the messages between nodes that is lost.
        watches_lost: Part of the answers to watches that never come, while all
            else is answered.
        stale_lag_s: How old the answers are that may be old.
    """

    down: set[str] = dataclasses.field(default_factory=set)
    cut: set[str] = dataclasses.field(default_factory=set)
    cut_data_centers: set[str] = dataclasses.field(default_factory=set)
    store_refuses: set[str] = dataclasses.field(default_factory=set)
    store_silent: set[str] = dataclasses.field(default_factory=set)
    loss: float = 0.0
    watches_lost: float = 0.0
    stale_lag_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Costs:
    """What was spent so far.

    Attributes:
        near_bytes: Between nodes of one data centre, by kind of message.
        far_bytes: Between data centres, by kind of message.
        store_tenths: Tenths of a call of the store, by kind; a stale read or
            a renewal is one tenth.
    """

    near_bytes: collections.Counter[str]
    far_bytes: collections.Counter[str]
    store_tenths: collections.Counter[str]

    @property
    def store_calls(self) -> float:
        """Calls of the store."""
        return self.store_tenths.total() / 10

    def since(self, before: "Costs") -> "Costs":
        """Returns what was spent after an earlier moment."""
        return Costs(
            self.near_bytes - before.near_bytes,
            self.far_bytes - before.far_bytes,
            self.store_tenths - before.store_tenths,
        )

    def copy(self) -> "Costs":
        """Returns what was spent up to now."""
        return Costs(
            self.near_bytes.copy(),
            self.far_bytes.copy(),
            self.store_tenths.copy(),
        )


class Store:
    """The store: items, history, leases; no outage but for single nodes."""

    def __init__(self) -> None:
        self.items: dict[str, store_lib.Item] = {}
        self.revision = 1
        self._history: list[store_lib.Item] = []
        # When each revision came to be, by the loop's clock.
        self._made_s: list[tuple[float, int]] = []
        self._changed = asyncio.Event()
        self._leases: dict[int, set[str]] = {}

    def put(self, key: str, value: bytes) -> None:
        """Writes an item and wakes watches."""
        self.revision += 1
        item = store_lib.Item(key, value, self.revision)
        self.items[key] = item
        self._history.append(item)
        now_s = asyncio.get_running_loop().time()
        self._made_s.append((now_s, self.revision))
        self._changed.set()
        self._changed = asyncio.Event()

    def revision_seen(self, lag_s: float) -> int:
        """Returns the revision of some time ago."""
        at_s = asyncio.get_running_loop().time() - lag_s
        return max(
            (r for made_s, r in self._made_s if made_s <= at_s), default=1
        )

    def page(self, prefix: str, lag_s: float) -> store_lib.Page:
        """Returns the items below a prefix, as of some time ago."""
        revision = self.revision_seen(lag_s)
        items = {
            item.key: item
            for item in self._history
            if item.revision <= revision and item.key.startswith(prefix)
        }
        return store_lib.Page(tuple(items.values()), False, revision)

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[store_lib.Item, ...]:
        """Waits for changes."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + wait_s
        while True:
            found = tuple(
                item
                for item in self._history
                if item.revision > after and item.key.startswith(prefix)
            )
            left_s = until_s - loop.time()
            if found or left_s <= 0:
                return found
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass


class _Link:
    """The store's link, as far as controllers look at it."""

    def __init__(self, rng: random.Random):
        self.backoff = platform_budget.Backoff(0.1, 0.8, rng)


class StoreClient:
    """The store as one node reaches it.

    Args:
        store: The store.
        faults: What goes wrong now.
        costs: What was spent so far.
        name: The node.
        rng: Source of randomness for waits.
    """

    def __init__(
        self,
        store: Store,
        faults: Faults,
        costs: Costs,
        name: str,
        rng: random.Random,
    ):
        self._store = store
        self._faults = faults
        self._costs = costs
        self._name = name
        # Of its own: the node's chance must not hang on the store's faults.
        self._lot = random.Random(f"watches of {name}")
        self.link = _Link(rng)

    async def read(self, prefix: str, stale: bool = False) -> store_lib.Page:
        """Returns the items below a prefix."""
        if stale:
            await self._pay("stale read", 1)
        else:
            await self._pay("read", 10)
        return self._store.page(prefix, self._lag_s(stale))

    async def ping(self, stale: bool = True) -> int:
        """Returns the store's revision."""
        if stale:
            await self._pay("stale ping", 1, _PING_TIMEOUT_S)
        else:
            await self._pay("ping", 10, _PING_TIMEOUT_S)
        return self._store.revision_seen(self._lag_s(stale))

    def _lag_s(self, stale: bool) -> float:
        return self._faults.stale_lag_s if stale else 0.0

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> store_lib.Events:
        """Waits for changes."""
        until_s = asyncio.get_running_loop().time() + wait_s + _TIMEOUT_S
        await self._pay("watch", 10)
        found = await self._store.changes(prefix, after, wait_s)
        silent = self._name in self._faults.store_silent
        if silent or self._lot.random() < self._faults.watches_lost:
            await asyncio.sleep(until_s - asyncio.get_running_loop().time())
            raise self._failed("silent")
        await self._pay("", 0)
        return store_lib.Events(found, self._store.revision)

    async def grant(self, duration_s: float) -> store_lib.Lease:
        """Returns a lease."""
        await self._pay("grant", 10)
        return store_lib.Lease(1, duration_s)

    async def write(
        self,
        writes: tuple[store_lib.Write, ...],
        conditions: tuple[store_lib.Condition, ...] = (),
    ) -> int:
        """Writes all, and returns the revision."""
        await self._pay("write", 10)
        for write in writes:
            self._store.put(write.key, write.value)
        return self._store.revision

    async def renew(self, lease_id: int) -> None:
        """Renews a lease."""
        await self._pay("renewal", 1)

    async def _pay(
        self, kind: str, tenths: int, timeout_s: float = _TIMEOUT_S
    ) -> None:
        if kind:
            self._costs.store_tenths[kind] += tenths
        if self._name in self._faults.store_silent:
            await asyncio.sleep(timeout_s)
            raise self._failed("silent")
        await asyncio.sleep(_STORE_S)
        if self._name in self._faults.store_refuses:
            raise self._failed("turned away")
        self.link.backoff.succeeded()

    def _failed(self, why: str) -> errors.PlatformUnavailableError:
        self.link.backoff.failed(asyncio.get_running_loop().time())
        return errors.PlatformUnavailableError(why)
