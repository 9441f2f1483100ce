"""Admits requests by API key, within the quota of their client account.

A key is a secret: it is looked up by its digest, and is neither recorded nor
forwarded. A refusal doesn't distinguish removed keys from unknown ones, as that
would tell an attacker which guessed key had once been valid.
"""

from burdockfront import accounts as accounts_lib
from burdockfront import outcomes
from burdockfront_node.filters import base

# Retry-after time until the other nodes are known: about the time that a node
# takes to start.
_STARTING_RETRY_S = 0.5
# Share of a request's time that it may wait for quota. The rest is enough to
# answer it within its target latency.
_MAX_WAIT_SHARE = 0.375
# Less important requests wait for less, so that the quota promised to them
# never makes a more important one wait too long.
_MAX_WAIT_SHARE_LOWER_RANK = 0.25


class AccountGate:
    """Sets the client account of a request and consumes its quota.

    Args:
        routed: Components for the filters of a routed node.
    """

    def __init__(self, routed: base.RoutedTools):
        self._resolver = routed.resolver
        self._key_header = routed.key_header
        self._quotas = routed.quotas

    def check(self, entry: base.Entry) -> outcomes.Answer | None:
        """Checks key and quota locally, and sets `entry.quota_state`.

        Returns:
            A refusal; None if the request is admitted or the quota state is
            pending.
        """
        entry.account = account = self._account_of(entry)
        assert entry.route_match is not None, "the route is found first"
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
        """Consumes quota by a request to another node.

        Returns:
            A refusal; None if the request is admitted.
        """
        assert entry.account is not None and entry.route_match is not None
        if not self._quotas.is_known:
            return outcomes.not_run(
                outcomes.Reason.NO_CONFIGURATION, _STARTING_RETRY_S
            )
        # The rank of the route alone: the rank of the account is the same for
        # all of its own requests.
        rank = entry.route_match.route.rank
        refused_s = await self._quotas.ask(
            entry.account, rank, _max_wait_s(entry, rank)
        )
        if refused_s:
            return outcomes.not_run(outcomes.Reason.OVER_QUOTA, refused_s)
        entry.quota_state = base.QuotaState.CONSUMED
        return None

    def give_back(self, entry: base.Entry) -> None:
        """Returns the quota of a request that did not run."""
        if (
            entry.quota_state is base.QuotaState.CONSUMED
            and entry.account is not None
        ):
            self._quotas.give_back(entry.account)

    def _account_of(self, entry: base.Entry) -> accounts_lib.Account | None:
        """Returns the account of the only key of a request, if it has one."""
        key = None
        for name, value in entry.request.headers:
            if name == self._key_header:
                if key is not None:
                    # A caller that sends two keys may know only one of them.
                    return None
                key = value
        return None if key is None else self._resolver.accounts.holder_of(key)


def _max_wait_s(entry: base.Entry, rank: int) -> float:
    """Returns how long a request may wait for quota."""
    assert entry.route_match is not None, "the route is found first"
    route = entry.route_match.route
    time_s = min(route.target_latency_s, route.timeout_s)
    if entry.caller_timeout_s is not None:
        time_s = min(time_s, entry.caller_timeout_s)
    share = _MAX_WAIT_SHARE_LOWER_RANK if rank else _MAX_WAIT_SHARE
    return time_s * share
