"""What it costs a node to know the others, in bytes and in calls of the store.

One line at intervals, so that whoever wonders about the traffic between data
centres or the load of the store finds the kind of message that causes it.
"""

import collections

from burdockfront_node.controllers import peer_link
from burdockfront_node.controllers import store_link


class ControlCost:
    """Counts since the start, and since the last line.

    Args:
        link: The way to peers.
        store: The way to the store, if there is one.
    """

    def __init__(
        self, link: peer_link.PeerLink, store: store_link.StoreLink | None
    ):
        self._link = link
        self._store = store
        self._told: collections.Counter[str] = collections.Counter()

    def totals(self) -> collections.Counter[str]:
        """Returns counts since the start, by the name of their metric."""
        found: collections.Counter[str] = collections.Counter()
        for kind, size_bytes in self._link.transferred.items():
            found[f"exchange.{kind}_bytes"] = size_bytes
        if self._store is not None:
            for kind, calls in self._store.calls_by_kind.items():
                found[f"platform.{kind}_calls"] = calls
        return found

    def since_last_report(self) -> dict[str, int]:
        """Returns what was added since the last question."""
        totals = self.totals()
        added = totals - self._told
        self._told = totals
        return dict(added)
