"""Finds the route of a request, admits its client account, and sets its terms.

Used by routed nodes. This is a single filter, because each filter of the chain
costs each request several function calls; its parts are in `account` and
`terms`.
"""

import dataclasses
import time

from burdockfront import outcomes
from burdockfront_node import entry_refusals
from burdockfront_node.filters import account as account_lib
from burdockfront_node.filters import base
from burdockfront_node.filters import terms as terms_lib

# Retry-after time until the first route table is loaded: about the time that a
# node takes to start.
_UNCONFIGURED_RETRY_S = 0.5
_OVERLOAD_REASONS = frozenset(
    [
        outcomes.Reason.OVERLOAD,
        outcomes.Reason.LIMITED,
        outcomes.Reason.OVERLOAD_DEEPER,
        outcomes.Reason.SHED,
    ]
)


@base.FILTERS.register("route")
class RouteFilter:
    """Sets route, client account, context, deadline and call."""

    def __init__(self, tools: base.Tools):
        assert tools.routed is not None, (
            "the filter needs the components of a routed node"
        )
        self._resolver = tools.routed.resolver
        self._accounts = account_lib.AccountGate(tools.routed)
        self._terms = terms_lib.Terms(tools.routed, tools.dispatcher)
        self._refusals = tools.routed.refusals
        self._recorder = tools.recorder

    async def __call__(
        self, entry: base.Entry, following: base.Next
    ) -> outcomes.Answer:
        """Refuses requests without a route, account or remaining quota."""
        resolver = self._resolver
        if resolver.table is None:
            # Not NO_ROUTE, which is final: this node has no route table yet.
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
                self._record_rejection(entry, refusal)
                return refusal
        refusal = self._terms.set(entry)
        if refusal is not None:
            self._accounts.give_back(entry)
            refusal.retry_after_s = self._retry_after_s(entry, refusal)
            self._refusals.record(
                entry_refusals.Refusal(
                    entry.caller_request_id,
                    entry.route_match.route.name,
                    entry.service,
                    refusal,
                    entry.routes_version,
                    entry.request.arrived_s,
                )
            )
            return refusal
        answer = await following(entry)
        if answer.outcome is not outcomes.Outcome.DONE:
            answer = self._finish_unserved(entry, answer)
        return answer

    def _finish_unserved(
        self, entry: base.Entry, answer: outcomes.Answer
    ) -> outcomes.Answer:
        """Returns unused quota, and sets the retry-after time on overload."""
        if answer.outcome is outcomes.Outcome.NOT_RUN:
            self._accounts.give_back(entry)
        if answer.reason not in _OVERLOAD_REASONS:
            return answer
        retry_after_s = self._retry_after_s(entry, answer)
        return dataclasses.replace(answer, retry_after_s=retry_after_s)

    def _retry_after_s(
        self, entry: base.Entry, refusal: outcomes.Answer
    ) -> float:
        """Counts a refusal for overload, and returns its retry-after time."""
        assert entry.route_match is not None and refusal.reason is not None
        class_name = entry.route_match.route.name
        context = entry.context
        if context is None or context.depth == 0:
            self._refusals.counts[(class_name, refusal.reason)] += 1
        return self._terms.retry_after_s(entry)

    def _record_rejection(
        self, entry: base.Entry, refusal: outcomes.Answer
    ) -> None:
        """Records the rejection in memory only.

        Otherwise attackers who guess keys could fill the log.
        """
        account = entry.account
        self._recorder.note(
            time.time(),
            "entry.turned-away",
            entry.caller_request_id,
            account=account.name if account is not None else "",
            reason=refusal.reason,
            routes=entry.routes_version,
        )
