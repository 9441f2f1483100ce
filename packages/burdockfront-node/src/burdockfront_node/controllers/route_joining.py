"""Start-up of a routed node: obtains routes and members, then is ready."""

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
    """Brings a starting node to readiness.

    Args:
        directory: Where peers are found.
        exchange: Exchanges members with the peers.
        route_watch: Reads the table from the store.
        resolver: Holds the active table.
        recorder: Where events go.
        on_members: Called when the members are known.
        on_ready: Called once, when this node may receive requests of callers.
    """

    def __init__(
        self,
        directory: directory_lib.Directory,
        exchange: exchange_lib.Exchange,
        route_watch: route_watch_lib.RouteWatch,
        resolver: routes_lib.RouteResolver,
        recorder: timeline.Recorder,
        on_members: Callable[[], None],
        on_ready: Callable[[], None],
    ):
        self._directory = directory
        self._exchange = exchange
        self._route_watch = route_watch
        self._resolver = resolver
        self._recorder = recorder
        self._on_members = on_members
        self._on_ready = on_ready

    async def become_ready(self) -> None:
        """Obtains routes and members, then reports readiness.

        The table is read from the store, the only source that is never behind.
        While the store does not answer, the table comes from peers that found
        this node at its old address.
        """
        joined = False
        while not joined or self._resolver.table is None:
            joined = joined or await self._join()
            self._on_members()
            if self._route_watch.store_unavailable:
                await self._route_watch.fetch_from_peers(self._peer_addresses())
            await self._route_watch.wait_for_routes(_PAUSE_S)
            if not joined:
                await asyncio.sleep(_PAUSE_S)
        self._on_ready()
        self._recorder.record(
            time.time(), "node.ready", routes=self._resolver.version
        )

    def _lacks_table(self) -> bool:
        return self._resolver.table is None or self._route_watch.is_behind

    async def _join(self) -> bool:
        try:
            await self._directory.join()
        except errors.PlatformError:
            # Without the directory, only members that contacted this node are
            # known.
            return len(self._exchange.membership.usable()) > 1
        return True

    def _peer_addresses(self) -> list[str]:
        """Returns a few members to ask, near ones if there are any."""
        membership = self._exchange.membership
        members = membership.near_peers(_PEERS_ASKED)
        members = members or membership.far_peers(_PEERS_ASKED)
        return [member.address for member in members]
