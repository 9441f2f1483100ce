"""Puts tables of routes in force, wherever they come from."""

import asyncio
import time
from collections.abc import Callable

from burdockfront import errors
from burdockfront import routes
from burdockfront import timeline
from burdockfront_node.controllers import store as store_lib

ReadTable = Callable[[store_lib.Item], routes.RouteTable | None]


class RouteActivator:
    """Takes tables, newer ones only, and says so.

    Args:
        read_table: Reads a table from an item of the store.
        book: The table in force.
        recorder: Where events go.
        on_news: Called when another table is in force, with the address of
            the node that it came from; empty: the store.
        age_s: Returns how long ago the table in force was last known to be
            the newest; None: never.
    """

    def __init__(
        self,
        read_table: ReadTable,
        book: routes.RouteResolver,
        recorder: timeline.Recorder,
        on_news: Callable[[str], None],
        age_s: Callable[[], float | None],
    ):
        self._read_table = read_table
        self._book = book
        self._recorder = recorder
        self._on_news = on_news
        self._age_s = age_s
        self._known = asyncio.Event()

    async def wait_for_first(self, longest_s: float) -> None:
        """Waits until a table is in force, or for so long."""
        try:
            async with asyncio.timeout(longest_s):
                await self._known.wait()
        except TimeoutError:
            return

    def take(self, item: store_lib.Item, source: str = "store") -> None:
        """Takes an item of the store, if it is a table, and how it came."""
        try:
            table = self._read_table(item)
        except errors.InvalidInputError as error:
            # What is in force stays: half a table would be worse.
            self._recorder.record(
                time.time(),
                "routes.rejected",
                key=item.key,
                revision=item.revision,
                why=str(error),
            )
            return
        if table is not None:
            self._accept(table, source, "")

    def accept(self, table: routes.RouteTable, teller: str) -> None:
        """Takes a table from the node of an address."""
        self._accept(table, f"peer {teller}", teller)

    def _accept(
        self, table: routes.RouteTable, source: str, teller: str
    ) -> None:
        before = self._book.version
        age_s = self._age_s()
        if not self._book.accept(table):
            return
        self._known.set()
        self._on_news(teller)
        self._recorder.record(
            time.time(),
            "routes.in-force",
            version=table.version,
            before=before,
            source=source,
            age_s=age_s,
        )
