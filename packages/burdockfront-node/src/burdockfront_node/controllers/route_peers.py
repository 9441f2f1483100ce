"""Fetches route tables from peers that announced a newer one.

A peer may freeze or be cut off a moment after it announced its table, and then
its answer is missing until the timeout: half of the time within which a change
must be active. So the next announcing peer is asked as soon as an answer is
late, and the store is asked when no other peer announced the table.
"""

import asyncio
import logging
from collections.abc import Callable

from burdockfront import errors
from burdockfront import routes
from burdockfront_node.controllers import peer_link

_LOG = logging.getLogger(__name__)

ROUTES = "/peer/routes"
_TIMEOUT_S = 1.0
# After this time an answer is late, and another peer is asked as well. A round
# trip between regions takes less.
ANSWER_WAIT_S = 0.15


class RoutePeers:
    """Asks peers for their table.

    Args:
        resolver: Holds the active table.
        link: Sends messages to peers.
        accept: Takes a table and the address of the peer that sent it.
        on_fetch_failure: Called when a newer table was announced but could not
            be fetched from any peer that announced it.
    """

    def __init__(
        self,
        resolver: routes.RouteResolver,
        link: peer_link.PeerLink,
        accept: Callable[[routes.RouteTable, str], None],
        on_fetch_failure: Callable[[], None],
    ):
        self._resolver = resolver
        self._link = link
        self._accept = accept
        self._on_fetch_failure = on_fetch_failure
        self._task: asyncio.Task[None] | None = None
        # Announced version by the address of each peer that was not asked yet.
        self._announced: dict[str, int] = {}
        # Requests in flight: a late answer may still bring the table.
        self._asking: set[asyncio.Task[None]] = set()

    @property
    def fetching(self) -> bool:
        """Whether a newer table is being fetched."""
        return self._task is not None and not self._task.done()

    def fetch(self, address: str, version: int, delay_s: float) -> None:
        """Fetches a table if it is newer than the active one.

        Args:
            address: Address of the peer.
            version: Version that the peer announced.
            delay_s: Time to wait first, as the table may arrive by other means.
        """
        if version <= self._resolver.version:
            return
        self._announced[address] = version
        if not self.fetching:
            self._task = asyncio.create_task(self._fetch_newest(delay_s))

    async def fetch_now(self, address: str) -> None:
        """Takes the table of a peer, if it answers."""
        try:
            answer = await self._link.ask(address, ROUTES, {}, _TIMEOUT_S)
            data = answer.get("routes")
            if data is not None:
                self._accept(routes.table_from_json(data), address)
        except errors.DispatchError as error:
            _LOG.info(
                "fetching routes from a peer failed", extra={"why": str(error)}
            )
        except errors.InvalidInputError as error:
            _LOG.warning(
                "a peer sent an invalid route table", extra={"why": str(error)}
            )

    async def _fetch_newest(self, delay_s: float) -> None:
        """Asks the announcing peers in turn until no newer table is known."""
        if delay_s:
            await asyncio.sleep(delay_s)
        wanted = self._resolver.version
        while (address := self._next()) is not None:
            wanted = max(wanted, self._announced.pop(address))
            await self._ask(address)
        if wanted > self._resolver.version:
            # The peers that know the table may all have failed.
            self._on_fetch_failure()

    def _next(self) -> str | None:
        """Returns the first of the peers that announced the newest version."""
        current = self._resolver.version
        self._announced = {
            a: v for a, v in self._announced.items() if v > current
        }
        return max(
            self._announced, key=self._announced.__getitem__, default=None
        )

    async def _ask(self, address: str) -> None:
        """Asks a peer, and returns once it has answered or is late."""
        asking = asyncio.create_task(self.fetch_now(address))
        self._asking.add(asking)
        asking.add_done_callback(self._asking.discard)
        await asyncio.wait({asking}, timeout=ANSWER_WAIT_S)
