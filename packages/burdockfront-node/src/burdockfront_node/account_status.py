"""Status of client accounts at one node for operators, without keys."""

from collections.abc import Iterator
from typing import Any

from prometheus_client import core

from burdockfront import accounts as accounts_lib
from burdockfront import routes as routes_lib
from burdockfront_node.controllers import quota_exchange as quota_exchange_lib

# Number of accounts with a metric of their own; the others are added up.
_MAX_NAMED = 20
_REST = "(others)"


class AccountStatus:
    """Reports client accounts and their quotas.

    Args:
        resolver: The active route table.
        quotas: The quotas of the accounts.
    """

    def __init__(
        self,
        resolver: routes_lib.RouteResolver,
        quotas: quota_exchange_lib.QuotaExchange,
    ):
        self._resolver = resolver
        self._quotas = quotas

    async def accounts(self, message: dict[str, Any]) -> dict[str, Any]:
        """Returns all accounts that this node knows."""
        return {
            "routes": self._resolver.version,
            "keeper": self._quotas.allocator_id,
            "reporters": self._quotas.allocator.reporters,
            "share": round(self._quotas.allocator.share, 3),
            "accounts": [
                self._row(account)
                for account in self._resolver.accounts.accounts
            ],
        }

    def metrics(self) -> Iterator[core.Metric]:
        """Yields the refused requests by account, largest number first."""
        family = core.CounterMetricFamily(
            "burdockfront_quota_refused",
            "requests refused beyond a quota",
            labels=["account"],
        )
        ranked = self._quotas.refused.most_common()
        for account, count in ranked[:_MAX_NAMED]:
            family.add_metric([account], count)
        rest = sum(count for _, count in ranked[_MAX_NAMED:])
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
