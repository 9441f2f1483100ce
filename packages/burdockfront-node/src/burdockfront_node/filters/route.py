"""Finds the route of a request, admits its account, and gives it its terms.

For nodes whose routes come from operators' one table. One filter, since each
link of the chain costs each request several function calls; the parts are
`account` and `terms`.
"""

import dataclasses
import time

from burdockfront import outcomes
from burdockfront_node.filters import account as account_lib
from burdockfront_node.filters import base
from burdockfront_node.filters import terms as terms_lib

# Until the first table is here. Starting takes about as long.
_UNCONFIGURED_RETRY_S = 0.5
_PRESSURE = frozenset(
    [
        outcomes.Reason.OVERLOAD,
        outcomes.Reason.LIMITED,
        outcomes.Reason.OVERLOAD_DEEPER,
        outcomes.Reason.SHED,
    ]
)


@base.FILTERS.register("route")
class RouteFilter:
    """Sets route, account, context, deadline and call."""

    def __init__(self, tools: base.Tools):
        assert tools.routed is not None, "the chain of a node with routes"
        self._resolver = tools.routed.resolver
        self._accounts = account_lib.AccountGate(tools.routed)
        self._terms = terms_lib.Terms(tools.routed)
        self._recorder = tools.recorder

    async def __call__(
        self, entry: base.Entry, following: base.Next
    ) -> outcomes.Answer:
        """Refuses a request without a route, an account, or a quota left."""
        resolver = self._resolver
        if resolver.table is None:
            # Not "no such route": what is missing is our own knowledge.
            return outcomes.not_run(
                outcomes.Reason.NO_CONFIGURATION, _UNCONFIGURED_RETRY_S
            )
        request = entry.request
        entry.host = request.header("host") or ""
        entry.route_match = resolver.find(entry.host, request.target)
        if entry.route_match is None:
            return outcomes.not_run(outcomes.Reason.NO_ROUTE)
        entry.routes_version = resolver.version
        if resolver.accounts.in_use:
            refusal = self._accounts.check(entry)
            if refusal is None and entry.quota_state is base.QuotaState.PENDING:
                refusal = await self._accounts.ask(entry)
            if refusal is not None:
                self._note_turned_away(entry, refusal)
                return refusal
        self._terms.set(entry)
        answer = await following(entry)
        if answer.outcome is not outcomes.Outcome.DONE:
            answer = self._of_refusal(entry, answer)
        return answer

    def _of_refusal(
        self, entry: base.Entry, answer: outcomes.Answer
    ) -> outcomes.Answer:
        """Gives credit back, and says when to return from pressure."""
        if answer.outcome is outcomes.Outcome.NOT_RUN:
            self._accounts.give_back(entry)
        if answer.reason not in _PRESSURE:
            return answer
        retry_after_s = self._terms.retry_after_s(entry)
        return dataclasses.replace(answer, retry_after_s=retry_after_s)

    def _note_turned_away(
        self, entry: base.Entry, refusal: outcomes.Answer
    ) -> None:
        """Keeps it in memory alone: guessers could fill the log."""
        account = entry.account
        self._recorder.note(
            time.time(),
            "entry.turned-away",
            entry.caller_request_id,
            account=account.name if account is not None else "",
            reason=refusal.reason,
            routes=entry.routes_version,
        )
