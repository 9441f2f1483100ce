"""Asks the store whether anything has changed, each node in its turn.

Few nodes watch the store for all, and all of these may be lost in one moment,
or hear nothing without noticing. Until others know that, a change would be in
force nowhere. So every node asks now and then, whoever watches: all nodes
together ask several times a second, however many they are, and whoever finds
something new tells the others.
"""

import asyncio
import logging
import random
import time
from collections.abc import Callable

from burdockfront import errors
from burdockfront_node.controllers import store as store_lib

_LOG = logging.getLogger(__name__)

# Of all nodes together. With half of them lost, somebody asks within half a
# second as a rule.
CHECKS_PER_S = 10.0
# Of few nodes each would ask without end.
MIN_PAUSE_S = 1.0
# Cheap answers may be seconds old; a question that is not answered so, at ten
# times the price, must come often enough by itself.
_FRESH_EVERY = 5
# A process that has just started has read everything itself.
_FIRST_PAUSE_S = 3.0


class RouteChecks:
    """This node's turns.

    Args:
        store: Client of the store.
        prefix: Beginning of the keys.
        take: Takes an item that may be newer than what is in force.
        confirm: Called with the time at which nothing newer was there.
        relied_on: Whether this node is to ask. One that the store did not
            answer finds out by itself when it does.
        nodes: Returns how many nodes there are.
        rng: Source of randomness.
    """

    def __init__(
        self,
        store: store_lib.StoreClient,
        prefix: str,
        take: Callable[[store_lib.Item], None],
        confirm: Callable[[float], None],
        relied_on: Callable[[], bool],
        nodes: Callable[[], int],
        rng: random.Random,
    ):
        self._store = store
        self._prefix = prefix
        self._take = take
        self._confirm = confirm
        self._relied_on = relied_on
        self._nodes = nodes
        self._rng = rng
        self._seen = 0
        # Nodes that start together would all ask for fresh answers at once.
        self._turn = rng.randrange(_FRESH_EVERY)

    def seen(self, revision: int) -> None:
        """Notes up to which revision this node has read the store."""
        self._seen = revision

    async def check_forever(self) -> None:
        """Asks whenever it is this node's turn."""
        await asyncio.sleep(_FIRST_PAUSE_S)
        while True:
            await asyncio.sleep(self._pause_s())
            if self._relied_on():
                await self._check()

    def _pause_s(self) -> float:
        mean_s = max(MIN_PAUSE_S, self._nodes() / CHECKS_PER_S)
        return mean_s * self._rng.uniform(0.5, 1.5)

    async def _check(self) -> None:
        self._turn += 1
        stale = self._turn % _FRESH_EVERY != 0
        asked_s = time.monotonic()
        try:
            revision = await self._store.ping(stale)
            if self._is_news(revision, stale):
                await self._read(revision)
        except errors.PlatformUnavailableError as error:
            _LOG.info("the store was asked in vain", extra={"why": str(error)})
            return
        if not stale:
            self._confirm(asked_s)

    async def _read(self, revision: int) -> None:
        """Reads the items as of a revision, cheaply where that is enough."""
        page = await self._store.read(self._prefix, stale=True)
        if page.revision < revision:
            page = await self._store.read(self._prefix)
        self._seen = page.revision
        for item in page.items:
            self._take(item)

    def _is_news(self, revision: int, stale: bool) -> bool:
        """Whether the store has changed; an old answer may lie behind."""
        return revision > self._seen if stale else revision != self._seen
