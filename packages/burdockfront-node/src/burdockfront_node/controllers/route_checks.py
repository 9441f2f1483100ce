"""Polls the store for changes, with the polls spread over all nodes.

Few nodes watch the store for all, and all of these may fail at once, or receive
nothing without noticing. Until the other nodes detect that, a change would be
active nowhere. So every node, watcher or not, polls the store from time to
time: all nodes together poll it several times a second, however many they are,
and a node that finds a change announces it to its peers.
"""

import asyncio
import logging
import random
import time
from collections.abc import Callable

from burdockfront import errors
from burdockfront_node.controllers import store as store_lib

_LOG = logging.getLogger(__name__)

# Polls of all nodes together. With half of the nodes lost, one of the rest
# usually polls within half a second.
CHECKS_PER_S = 10.0
# Shortest mean pause of one node. With few nodes, each would otherwise poll
# without a pause.
MIN_PAUSE_S = 1.0
# Every n-th poll of a node asks for a fresh answer, at ten times the price.
# Cheap answers may be seconds old, so fresh ones alone must come often enough.
_FRESH_EVERY = 5
# A process that has just started has read the whole table itself.
_FIRST_PAUSE_S = 3.0


class RouteChecks:
    """Polls the store from one node.

    Args:
        store: Client of the store.
        prefix: Prefix of the keys.
        take: Takes an item that may be newer than the active table.
        confirm: Called with the time at which there was nothing newer.
        enabled: Whether this node is to poll. A node that the store does not
            answer retries by other means, and so learns when it answers again.
        nodes: Returns how many nodes there are.
        rng: Source of randomness.
    """

    def __init__(
        self,
        store: store_lib.StoreClient,
        prefix: str,
        take: Callable[[store_lib.Item], None],
        confirm: Callable[[float], None],
        enabled: Callable[[], bool],
        nodes: Callable[[], int],
        rng: random.Random,
    ):
        self._store = store
        self._prefix = prefix
        self._take = take
        self._confirm = confirm
        self._enabled = enabled
        self._nodes = nodes
        self._rng = rng
        self._revision = 0
        # Starts at random: nodes that start together would otherwise all ask
        # for fresh answers at once.
        self._count = rng.randrange(_FRESH_EVERY)

    def on_read(self, revision: int) -> None:
        """Records up to which revision this node has read the store."""
        self._revision = revision

    async def check_forever(self) -> None:
        """Polls whenever this node's pause has passed."""
        await asyncio.sleep(_FIRST_PAUSE_S)
        while True:
            await asyncio.sleep(self._pause_s())
            if self._enabled():
                await self._check()

    def _pause_s(self) -> float:
        mean_s = max(MIN_PAUSE_S, self._nodes() / CHECKS_PER_S)
        return mean_s * self._rng.uniform(0.5, 1.5)

    async def _check(self) -> None:
        self._count += 1
        stale = self._count % _FRESH_EVERY != 0
        asked_s = time.monotonic()
        try:
            revision = await self._store.ping(stale)
            if self._has_changed(revision, stale):
                await self._read(revision)
        except errors.PlatformUnavailableError as error:
            _LOG.info("polling the store failed", extra={"why": str(error)})
            return
        if not stale:
            self._confirm(asked_s)

    async def _read(self, revision: int) -> None:
        """Reads the items as of a revision, cheaply where that is enough."""
        page = await self._store.read(self._prefix, stale=True)
        if page.revision < revision:
            page = await self._store.read(self._prefix)
        self._revision = page.revision
        for item in page.items:
            self._take(item)

    def _has_changed(self, revision: int, stale: bool) -> bool:
        """Whether the store has changed; a stale answer may lag behind."""
        return (
            revision > self._revision if stale else revision != self._revision
        )
