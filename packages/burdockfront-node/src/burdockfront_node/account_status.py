"""What operators see of client accounts at one node; never a key."""

from collections.abc import Iterator
from typing import Any

from prometheus_client import core

from burdockfront import accounts as accounts_lib
from burdockfront import routes as routes_lib
from burdockfront_node.controllers import quota_exchange as quota_exchange_lib

# Accounts that metrics name; the others are told of together.
_NAMED = 20
_REST = "(others)"


class AccountStatus:
    """Tells of accounts, and of their quotas.

    Args:
        book: The table in force.
        quotas: What accounts may spend.
    """

    def __init__(
        self,
        book: routes_lib.RouteResolver,
        quotas: quota_exchange_lib.QuotaExchange,
    ):
        self._book = book
        self._quotas = quotas

    async def accounts(self, message: dict[str, Any]) -> dict[str, Any]:
        """Returns all accounts as this node knows them."""
        return {
            "routes": self._book.version,
            "keeper": self._quotas.allocator_id,
            "reporters": self._quotas.allocator.reporters,
            "share": round(self._quotas.allocator.share, 3),
            "accounts": [
                self._row(account) for account in self._book.accounts.accounts
            ],
        }

    def metrics(self) -> Iterator[core.Metric]:
        """Yields what was refused, by account, largest first."""
        family = core.CounterMetricFamily(
            "burdockfront_quota_refused",
            "requests refused beyond a quota",
            labels=["account"],
        )
        ranked = self._quotas.refused.most_common()
        for account, count in ranked[:_NAMED]:
            family.add_metric([account], count)
        rest = sum(count for _, count in ranked[_NAMED:])
        if rest:
            family.add_metric([_REST], rest)
        yield family

    def _row(self, account: accounts_lib.Account) -> dict[str, Any]:
        name = account.name
        return {
            "account": name,
            "keys": len(account.key_digests),
            "rank": account.rank,
            "rate_per_s": account.rate_per_s,
            "burst": account.burst,
            "scarce": name in self._quotas.scarce,
            "refused": self._quotas.refused[name],
            "tokens": round(self._quotas.allocator.level_of(name), 1),
        }
