"""A start on a place with routes: learns routes and members, then is ready."""

import asyncio
import time
from collections.abc import Callable

from burdockfront import errors
from burdockfront import routes as routes_lib
from burdockfront import timeline
from burdockfront_node.controllers import directory as directory_lib
from burdockfront_node.controllers import exchange as exchange_lib
from burdockfront_node.controllers import route_watch as route_watch_lib

_PAUSE_S = 0.2
_PEERS_ASKED = 3


class RouteJoining:
    """Brings a node from its start to ready.

    Args:
        directory: Where other nodes are found.
        exchange: Exchanges members with them.
        route_watch: Reads the table from the store.
        book: The table in force.
        recorder: Where events go.
        on_members: Called when it is known who the members are.
        on_ready: Called once, when callers may be sent here.
    """

    def __init__(
        self,
        directory: directory_lib.Directory,
        exchange: exchange_lib.Exchange,
        route_watch: route_watch_lib.RouteWatch,
        book: routes_lib.RouteResolver,
        recorder: timeline.Recorder,
        on_members: Callable[[], None],
        on_ready: Callable[[], None],
    ):
        self._directory = directory
        self._exchange = exchange
        self._route_watch = route_watch
        self._book = book
        self._recorder = recorder
        self._on_members = on_members
        self._on_ready = on_ready

    async def become_ready(self) -> None:
        """Learns routes and members, then says ready.

        The table is read from the store, which alone is never behind. While
        the store does not answer, peers that found this node at its old
        address know it as well.
        """
        joined = False
        while not joined or self._book.table is None:
            joined = joined or await self._join()
            self._on_members()
            if self._route_watch.store_unavailable:
                await self._route_watch.fetch_from_peers(self._peer_addresses())
            await self._route_watch.wait_for_routes(_PAUSE_S)
            if not joined:
                await asyncio.sleep(_PAUSE_S)
        self._on_ready()
        self._recorder.record(
            time.time(), "node.ready", routes=self._book.version
        )

    def _lacks_table(self) -> bool:
        return self._book.table is None or self._route_watch.is_behind

    async def _join(self) -> bool:
        try:
            await self._directory.join()
        except errors.PlatformError:
            # The members that found this node are all it can know now.
            return len(self._exchange.membership.usable()) > 1
        return True

    def _peer_addresses(self) -> list[str]:
        """Returns a few members to ask, of this data centre if there are."""
        membership = self._exchange.membership
        members = membership.near_peers(_PEERS_ASKED)
        members = members or membership.far_peers(_PEERS_ASKED)
        return [member.address for member in members]
