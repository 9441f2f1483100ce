"""Admits a request by the key that it bears, within its account's quota.

A key is a secret: it is looked up by its digest, and goes no further than this.
Why a key admits nobody is not said: "removed" or "unknown" would tell a guesser
which one had been worth something.
"""

from burdockfront import accounts as accounts_lib
from burdockfront import outcomes
from burdockfront_node.filters import base

# Until the other nodes are known. Starting takes about as long.
_STARTING_RETRY_S = 0.5


class AccountGate:
    """Sets the client account, and spends of its quota.

    Args:
        routed: What filters of a node with routes use.
    """

    def __init__(self, routed: base.RoutedTools):
        self._resolver = routed.resolver
        self._key_header = routed.key_header
        self._quotas = routed.quotas

    def check(self, entry: base.Entry) -> outcomes.Answer | None:
        """Returns a refusal, or None; then `entry.quota_state` says the rest."""
        entry.account = account = self._account_of(entry)
        assert entry.route_match is not None, "the route is found before"
        route = entry.route_match.route
        if route.public:
            return None
        if account is None:
            return outcomes.not_run(outcomes.Reason.UNKNOWN_KEY)
        if not account.rate_per_s:
            return None
        refused_s = self._quotas.consume(
            account, route.rank, entry.request.arrived_s
        )
        if refused_s is None:
            entry.quota_state = base.QuotaState.PENDING
            return None
        if refused_s:
            return outcomes.not_run(outcomes.Reason.OVER_QUOTA, refused_s)
        entry.quota_state = base.QuotaState.CONSUMED
        return None

    async def ask(self, entry: base.Entry) -> outcomes.Answer | None:
        """Spends by a question to another node; returns a refusal or None."""
        assert entry.account is not None and entry.route_match is not None
        if not self._quotas.is_known:
            return outcomes.not_run(
                outcomes.Reason.NO_CONFIGURATION, _STARTING_RETRY_S
            )
        # The route's own rank: the account's says nothing of its own requests.
        rank = entry.route_match.route.rank
        refused_s = await self._quotas.ask(entry.account, rank)
        if refused_s:
            return outcomes.not_run(outcomes.Reason.OVER_QUOTA, refused_s)
        entry.quota_state = base.QuotaState.CONSUMED
        return None

    def give_back(self, entry: base.Entry) -> None:
        """Takes back what a request spent that ran nowhere."""
        if (
            entry.quota_state is base.QuotaState.CONSUMED
            and entry.account is not None
        ):
            self._quotas.give_back(entry.account)

    def _account_of(self, entry: base.Entry) -> accounts_lib.Account | None:
        """Returns whom the one key of a request admits."""
        found = None
        for name, value in entry.request.headers:
            if name == self._key_header:
                if found is not None:
                    # Who sends two keys may know one of them only.
                    return None
                found = value
        return (
            None if found is None else self._resolver.accounts.holder_of(found)
        )
