"""Cost of a node's control traffic, in bytes and in calls of the store.

It is logged periodically by kind of message, to show which kind causes traffic
between data centres or load on the store.
"""

import collections

from burdockfront_node.controllers import peer_link
from burdockfront_node.controllers import store_link


class ControlCost:
    """Counts control traffic since the start and since the last report.

    Args:
        link: Sends messages to peers.
        store: Sends requests to the store, if there is one.
    """

    def __init__(
        self, link: peer_link.PeerLink, store: store_link.StoreLink | None
    ):
        self._link = link
        self._store = store
        self._reported: collections.Counter[str] = collections.Counter()

    def totals(self) -> collections.Counter[str]:
        """Returns the counts since the start, by name of metric."""
        found: collections.Counter[str] = collections.Counter()
        for kind, size_bytes in self._link.transferred.items():
            found[f"exchange.{kind}_bytes"] = size_bytes
        if self._store is not None:
            for kind, calls in self._store.calls_by_kind.items():
                found[f"platform.{kind}_calls"] = calls
        return found

    def since_last_report(self) -> dict[str, int]:
        """Returns the counts since the last call of this method."""
        totals = self.totals()
        added = totals - self._reported
        self._reported = totals
        return dict(added)
