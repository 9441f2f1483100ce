"""Fetches operators' table from peers who know a newer one."""

import asyncio
import dataclasses
import logging
from collections.abc import Callable

from burdockfront import errors
from burdockfront import routes
from burdockfront_node.controllers import peer_link

_LOG = logging.getLogger(__name__)

ROUTES = "/peer/routes"
_TIMEOUT_S = 1.0


class RoutePeers:
    """Asks peers for their table, one at a time.

    Args:
        book: The table in force.
        link: The way to peers.
        accept: Takes a table, and whence it came.
        on_lost: Called when a newer table was told of, and can't be had from
            whoever told of it.
    """

    def __init__(
        self,
        book: routes.RouteBook,
        link: peer_link.PeerLink,
        accept: Callable[[routes.RouteTable, str], None],
        on_lost: Callable[[], None],
    ):
        self._book = book
        self._link = link
        self._accept = accept
        self._on_lost = on_lost
        self._task: asyncio.Task[None] | None = None
        self._next: _Heard | None = None

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
        if self.fetching:
            # What is on its way may be older; nobody may tell of this again
            # before the next probe.
            if self._next is None or version > self._next.version:
                self._next = _Heard(address, version)
            return
        heard = _Heard(address, version)
        self._task = asyncio.create_task(self._fetch_newest(heard, wait_s))

    async def fetch_now(self, address: str) -> None:
        """Takes the table of a peer, if it answers."""
        try:
            answer = await self._link.ask(address, ROUTES, {}, _TIMEOUT_S)
            data = answer.get("routes")
            if data is not None:
                self._accept(routes.table_from_json(data), f"peer {address}")
        except errors.DispatchError as error:
            _LOG.info("no routes from a peer", extra={"why": str(error)})
        except errors.InvalidInputError as error:
            _LOG.warning(
                "a peer's routes are no use", extra={"why": str(error)}
            )

    async def _fetch_newest(self, first: "_Heard", wait_s: float) -> None:
        """Fetches until nothing newer was heard of meanwhile."""
        if wait_s:
            await asyncio.sleep(wait_s)
        heard: _Heard | None = first
        while heard is not None:
            if heard.version > self._book.version:
                await self.fetch_now(heard.address)
            told, heard, self._next = heard, self._next, None
            if heard is None and told.version > self._book.version:
                # Whoever told of it may be gone, and with it the news.
                self._on_lost()


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    """A version that is in force at a peer."""

    address: str
    version: int
