"""The other nodes, as whoever watches the store for them sees them."""

from typing import Protocol

from burdockfront_node.controllers import exchange as exchange_lib


class PeerNotifier(Protocol):
    """Whom a watch tells of what it learns."""

    def notify_routes(self, teller: str) -> None:
        """Tells them which version is in force here.

        Args:
            teller: Address of the node that it came from; empty: the store.
        """

    def notify_store_unavailable(self, away: bool) -> None:
        """Tells them whether the store answers this node."""

    def count(self) -> int:
        """Returns how many nodes are known."""


class ExchangePeerNotifier:
    """Tells the other nodes by the exchange."""

    def __init__(self, exchange: exchange_lib.Exchange):
        self._exchange = exchange

    def notify_routes(self, teller: str) -> None:
        """Tells them which version is in force here."""
        membership = self._exchange.membership
        near = membership.near_peers(len(membership.members()))
        first = teller not in {member.address for member in near}
        self._exchange.notify_routes(first)

    def notify_store_unavailable(self, away: bool) -> None:
        """Tells them whether the store answers this node."""
        self._exchange.update_me(store_away=away)

    def count(self) -> int:
        """Returns how many nodes are known."""
        return len(self._exchange.membership.usable())
