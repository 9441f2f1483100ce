"""Activates route tables, from the store and from peers alike."""

import asyncio
import time
from collections.abc import Callable

from burdockfront import errors
from burdockfront import routes
from burdockfront import timeline
from burdockfront_node.controllers import store as store_lib

ReadTable = Callable[[store_lib.Item], routes.RouteTable | None]


class RouteActivator:
    """Activates newer tables, and reports each activation.

    Args:
        read_table: Reads a table from an item of the store.
        resolver: Holds the active table.
        recorder: Where events go.
        on_activated: Called after a table was activated, with the address of
            the node that it came from; empty if it came from the store.
        age_s: Returns how long ago the active table was last known to be the
            newest; None: never.
    """

    def __init__(
        self,
        read_table: ReadTable,
        resolver: routes.RouteResolver,
        recorder: timeline.Recorder,
        on_activated: Callable[[str], None],
        age_s: Callable[[], float | None],
    ):
        self._read_table = read_table
        self._resolver = resolver
        self._recorder = recorder
        self._on_activated = on_activated
        self._age_s = age_s
        self._has_table = asyncio.Event()

    async def wait_for_first(self, max_wait_s: float) -> None:
        """Waits until a table is active, at most `max_wait_s`."""
        try:
            async with asyncio.timeout(max_wait_s):
                await self._has_table.wait()
        except TimeoutError:
            return

    def accept_item(self, item: store_lib.Item, source: str = "store") -> None:
        """Activates the table of an item of the store.

        Items that are no table, and tables that are not newer than the active
        one, are ignored.

        Args:
            item: The item.
            source: How the item was learned of, for the event.
        """
        try:
            table = self._read_table(item)
        except errors.InvalidInputError as error:
            # The active table stays: half a table would be worse.
            self._recorder.record(
                time.time(),
                "routes.rejected",
                key=item.key,
                revision=item.revision,
                why=str(error),
            )
            return
        if table is not None:
            self._activate(table, source, "")

    def accept_from_peer(self, table: routes.RouteTable, address: str) -> None:
        """Activates the table of a peer if it is newer than the active one."""
        self._activate(table, f"peer {address}", address)

    def _activate(
        self, table: routes.RouteTable, source: str, address: str
    ) -> None:
        before = self._resolver.version
        age_s = self._age_s()
        if not self._resolver.accept(table):
            return
        self._has_table.set()
        self._on_activated(address)
        self._recorder.record(
            time.time(),
            "routes.in-force",
            version=table.version,
            before=before,
            source=source,
            age_s=age_s,
        )
