"""Notifies the other nodes of what a watch on the store has learned."""

from typing import Protocol

from burdockfront_node.controllers import exchange as exchange_lib


class PeerNotifier(Protocol):
    """The other nodes, as a watch on the store uses them."""

    def notify_routes(self, source: str) -> None:
        """Announces the version of the route table that is active here.

        Args:
            source: Address of the node that sent the table; empty if it was
                read from the store.
        """

    def notify_store_unavailable(self, unavailable: bool) -> None:
        """Announces whether the store fails to answer this node."""

    def count(self) -> int:
        """Returns how many nodes are known."""


class ExchangePeerNotifier:
    """Notifies the other nodes through the exchange.

    Args:
        exchange: Gossips with the peers.
    """

    def __init__(self, exchange: exchange_lib.Exchange):
        self._exchange = exchange

    def notify_routes(self, source: str) -> None:
        """Announces the active version; see `PeerNotifier`."""
        membership = self._exchange.membership
        near = membership.near_peers(len(membership.members()))
        first = source not in {member.address for member in near}
        self._exchange.notify_routes(first)

    def notify_store_unavailable(self, unavailable: bool) -> None:
        """Announces whether the store fails to answer this node."""
        self._exchange.update_local_member(store_away=unavailable)

    def count(self) -> int:
        """Returns how many nodes are known."""
        return len(self._exchange.membership.usable())
