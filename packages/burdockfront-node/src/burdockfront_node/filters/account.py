"""Admits a request by the key that it bears, within its account's quota.

A key is a secret: it is looked up by its digest, and goes no further than this
filter. Why a key admits nobody is not said: "removed" or "unknown" would tell
a guesser which one had been worth something.
"""

import time

from burdockfront import accounts as accounts_lib
from burdockfront import outcomes
from burdockfront_node.filters import base

# Until the other nodes are known. Starting takes about as long.
_STARTING_RETRY_S = 0.5


@base.FILTERS.register("account")
class AccountFilter:
    """Sets the client account."""

    def __init__(self, tools: base.Tools):
        assert tools.routed is not None, "the chain of a node with routes"
        self._book = tools.routed.book
        self._key_header = tools.routed.key_header
        self._quotas = tools.routed.quotas
        self._recorder = tools.recorder

    async def __call__(
        self, entry: base.Entry, following: base.Next
    ) -> outcomes.Answer:
        """Refuses a request without a known key, or beyond a quota."""
        accounts = self._book.accounts
        if not accounts.in_use:
            return await following(entry)
        found = entry.found
        assert found is not None, "the route filter comes before"
        header = self._key_header
        keys = [
            value for name, value in entry.request.headers if name == header
        ]
        account = accounts.holder_of(keys) if keys else None
        entry.account = account
        if found.route.public:
            return await following(entry)
        if account is None:
            return self._refuse(entry, outcomes.Reason.UNKNOWN_KEY, None)
        if not account.rate_per_s:
            return await following(entry)
        # Of the account's own requests: the account's rank says nothing here.
        rank = found.route.rank
        if not self._quotas.is_known:
            return self._refuse(
                entry, outcomes.Reason.NO_CONFIGURATION, _STARTING_RETRY_S
            )
        refused_s = self._quotas.spend(account, rank)
        if refused_s is None:
            refused_s = await self._quotas.ask(account, rank)
        if refused_s:
            return self._refuse(entry, outcomes.Reason.OVER_QUOTA, refused_s)
        answer = await following(entry)
        if answer.outcome is outcomes.Outcome.NOT_RUN:
            self._quotas.give_back(account)
        return answer

    def _refuse(
        self,
        entry: base.Entry,
        reason: outcomes.Reason,
        retry_after_s: float | None,
    ) -> outcomes.Answer:
        account: accounts_lib.Account | None = entry.account
        self._recorder.note(
            time.time(),
            "entry.turned-away",
            entry.caller_request_id,
            account=account.name if account is not None else "",
            reason=reason,
            routes=entry.routes_version,
        )
        return outcomes.not_run(reason, retry_after_s)
