"""Fetches operators' table from peers who know a newer one.

Whoever told of it may have frozen or been cut off a moment later, and then
gives no answer until the timeout: half of the time in which a change must be in
force. So the next one who told is asked as soon as an answer is late, and the
store where nobody else told.
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
# A way to and fro between regions takes less.
ANSWER_WAIT_S = 0.15


class RoutePeers:
    """Asks peers for their table.

    Args:
        book: The table in force.
        link: The way to peers.
        accept: Takes a table, and the address that it came from.
        on_lost: Called when a newer table was told of, and does not come from
            those who told of it.
    """

    def __init__(
        self,
        book: routes.RouteResolver,
        link: peer_link.PeerLink,
        accept: Callable[[routes.RouteTable, str], None],
        on_lost: Callable[[], None],
    ):
        self._book = book
        self._link = link
        self._accept = accept
        self._on_lost = on_lost
        self._task: asyncio.Task[None] | None = None
        # Who was not asked yet, and the version that it told of.
        self._told: dict[str, int] = {}
        # Questions whose answer is late may still bring it.
        self._asking: set[asyncio.Task[None]] = set()

    @property
    def fetching(self) -> bool:
        """Whether a newer table is on its way."""
        return self._task is not None and not self._task.done()

    def fetch(self, address: str, version: int, wait_s: float) -> None:
        """Fetches a table if it is newer than the one in force.

        Args:
            address: Of the peer.
            version: Its version.
            wait_s: Time for it to come by another way first.
        """
        if version <= self._book.version:
            return
        self._told[address] = version
        if not self.fetching:
            self._task = asyncio.create_task(self._fetch_newest(wait_s))

    async def fetch_now(self, address: str) -> None:
        """Takes the table of a peer, if it answers."""
        try:
            answer = await self._link.ask(address, ROUTES, {}, _TIMEOUT_S)
            data = answer.get("routes")
            if data is not None:
                self._accept(routes.table_from_json(data), address)
        except errors.DispatchError as error:
            _LOG.info("no routes from a peer", extra={"why": str(error)})
        except errors.InvalidInputError as error:
            _LOG.warning(
                "a peer's routes are no use", extra={"why": str(error)}
            )

    async def _fetch_newest(self, wait_s: float) -> None:
        """Asks one after the other until nothing newer was told of."""
        if wait_s:
            await asyncio.sleep(wait_s)
        wanted = self._book.version
        while (address := self._next()) is not None:
            wanted = max(wanted, self._told.pop(address))
            await self._ask(address)
        if wanted > self._book.version:
            # Whoever told of it may be gone, and with it the news.
            self._on_lost()

    def _next(self) -> str | None:
        """Returns who told of the newest version, of those who told first."""
        current = self._book.version
        self._told = {a: v for a, v in self._told.items() if v > current}
        return max(self._told, key=self._told.__getitem__, default=None)

    async def _ask(self, address: str) -> None:
        """Asks a peer, and waits until it is late."""
        asking = asyncio.create_task(self.fetch_now(address))
        self._asking.add(asking)
        asking.add_done_callback(self._asking.discard)
        await asyncio.wait({asking}, timeout=ANSWER_WAIT_S)
