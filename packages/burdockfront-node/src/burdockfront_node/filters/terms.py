"""Sets the terms of a call from its route and its client account.

The route determines the service, the maximum number of attempts, the rank and
the timeout of the call.
"""

import random
import secrets
import time

from burdockfront import allowance
from burdockfront import context as context_lib
from burdockfront import outcomes
from burdockfront import return_times
from burdockfront import routes
from burdockfront_client import calls
from burdockfront_client import dispatcher as dispatcher_lib
from burdockfront_client import retry_decisions
from burdockfront_client import wire
from burdockfront_node.filters import base
from burdockfront_node.filters import identify

# Time to write the final answer when the timeout has expired: the delay until a
# process under load gets to it.
_ANSWER_MARGIN_S = 0.04
# A nested call expires with its parent, whose deadline already includes the
# answer margin. When each layer subtracted that margin again, requests of four
# layers lost half of a time limit of 0.8 s, and one in fifteen failed for it.
_CALL_MARGIN_S = 0.002
# Range of the retry-after time where it is not forecast, as shares of the
# route's target latency. An answer within that has its full value.
_RETRY_AFTER_SHARES = (0.3, 0.6)
_MAX_RETRY_AFTER_S = 2.0


class Terms:
    """Sets service, context, deadline and call.

    Args:
        routed: Components for the filters of a routed node.
        dispatcher: Knows the levels of paths, and counts early refusals.
    """

    def __init__(
        self, routed: base.RoutedTools, dispatcher: dispatcher_lib.Dispatcher
    ):
        self._early_refusals = routed.early_refusals
        self._dispatcher = dispatcher
        self._level_tracker = dispatcher.level_tracker
        self._resolver = routed.resolver
        self._reserved = routed.reserved
        self._reserved_with_accounts = (
            routed.reserved | routed.reserved_with_accounts
        )
        self._origin_service = routed.origin_service
        self._rng = random.Random(secrets.randbits(64))
        self._forecasts_levels = routed.forecasts_levels
        self._return_times = return_times.ReturnTimes(
            self._level_tracker, self._rng
        )
        self._is_new_work = routed.is_new_work
        self._parent_of = routed.parent_of
        self._shares = routed.shares

    def retry_after_s(self, entry: base.Entry) -> float:
        """Returns the retry-after time of a request refused for overload.

        It is random, because many requests are refused at the same moment.
        The course of the level applies to new work only: a backend server that
        repeats a call holds a slot meanwhile, so it is not told to wait longer.
        """
        assert entry.route_match is not None, "the terms are set first"
        route = entry.route_match.route
        context = entry.context
        is_call = context is not None and context.depth > 0
        if is_call or not self._forecasts_levels:
            share = self._rng.uniform(*_RETRY_AFTER_SHARES)
            return min(_MAX_RETRY_AFTER_S, share * route.target_latency_s)
        now_s = time.monotonic()
        remaining_s = route.timeout_s
        if entry.caller_timeout_s is not None:
            remaining_s = min(remaining_s, entry.caller_timeout_s)
        return self._return_times.retry_after_s(
            entry.service,
            route.name,
            self._resolver.accounts.rank_of(entry.account, route.rank),
            route.target_latency_s,
            remaining_s - (now_s - entry.request.arrived_s),
            now_s,
        )

    def set(self, entry: base.Entry) -> outcomes.Answer | None:
        """Sets the terms of a request from its route and its account.

        Returns:
            The refusal of new work above the level of its path, for which no
            call is built; None if the request is to be dispatched.
        """
        match = entry.route_match
        assert match is not None, "the route is found first"
        route = match.route
        account = entry.account
        remaining_s = route.timeout_s
        if entry.caller_timeout_s is not None:
            remaining_s = min(remaining_s, entry.caller_timeout_s)
        parent = self._parent_of(entry.caller_request_id)
        new_work = parent is None and self._is_new_work(route.name)
        remaining_s -= _ANSWER_MARGIN_S if new_work else _CALL_MARGIN_S
        deadline_s = entry.request.arrived_s + remaining_s
        units = max(0, route.max_attempts - 1)
        idempotent = route.repeat is routes.Repeat.IDEMPOTENT
        request = entry.request
        entry.service = match.service
        entry.target = request.target
        now_s = time.monotonic()
        remaining_s = deadline_s - now_s
        if parent is None:
            rank = self._resolver.accounts.rank_of(account, route.rank)
            ordinal = identify.ordinal_of(entry.caller_request_id)
            account_tag = ""
            if self._tags_accounts():
                assert self._shares is not None
                if account is not None:
                    tags = self._resolver.accounts.tags
                    account_tag = tags.get(account.name, "")
                if self._shares.any_named and new_work:
                    ordinal, account_tag = self._shares.terms_of(
                        match.service,
                        route.name,
                        account_tag,
                        ordinal,
                        now_s,
                    )
            priority = rank * context_lib.ORDINALS + ordinal
            if (
                new_work
                and self._early_refusals
                and self._level_tracker.refuses(
                    match.service, route.name, priority, now_s
                )
            ):
                refusal = self._refuse(entry, remaining_s, now_s)
                if refusal is not None:
                    return refusal
            entry.context = context_lib.RequestContext(
                request_id=entry.caller_request_id,
                attempt_id=entry.caller_request_id,
                class_name=route.name,
                rank=rank,
                ordinal=ordinal,
                depth=0 if new_work else 1,
                remaining_s=remaining_s,
                allowance=units,
                account_tag=account_tag,
            )
        else:
            entry.context = context_lib.RequestContext(
                request_id=entry.caller_request_id,
                attempt_id=entry.caller_request_id,
                class_name=route.name,
                rank=parent.rank,
                ordinal=parent.ordinal,
                depth=parent.depth + 1,
                remaining_s=remaining_s,
                allowance=units,
                parent=parent.attempt_id,
                repeated=parent.repeated,
                admitted_share=parent.admitted_share,
                limited_by=parent.limited_by,
                account_tag=parent.account_tag,
            )
        entry.deadline_s = deadline_s
        entry.call = calls.Call(
            service=match.service,
            method=request.method,
            target=request.target,
            headers=self._forwarded_headers(request.headers),
            body=request.body,
            context=entry.context,
            deadline_s=deadline_s,
            pool=allowance.AllowancePool(units),
            repeatable=idempotent,
            host=entry.host,
            origin_service=self._origin_service,
            target_s=route.target_latency_s,
            max_backends=route.max_attempts,
            parent_class=parent.class_name if parent is not None else "",
            account=account.name if account is not None else "",
            hold=request.hold,
        )
        return None

    def _refuse(
        self, entry: base.Entry, remaining_s: float, now_s: float
    ) -> outcomes.Answer | None:
        """Refuses new work above the level of its path, unless it is too late.

        Requests without remaining time, and those of services without guards,
        are left to the dispatcher, whose reason for these is another one.
        """
        dispatcher = self._dispatcher
        if remaining_s <= retry_decisions.MIN_REMAINING_S:
            return None
        if not dispatcher.router.targets_of(entry.service):
            return None
        dispatcher.count_early_refusal(entry.service, now_s)
        return outcomes.not_run(outcomes.Reason.OVERLOAD_DEEPER)

    def _tags_accounts(self) -> bool:
        """Whether calls carry the tag of the account of their request."""
        shares = self._shares
        if shares is None or not self._resolver.accounts.in_use:
            return False
        return shares.tags_calls()

    def _forwarded_headers(
        self, headers: tuple[tuple[str, str], ...]
    ) -> tuple[tuple[str, str], ...]:
        """Returns the headers to forward, without the reserved ones."""
        reserved = self._reserved
        if self._resolver.accounts.in_use:
            reserved = self._reserved_with_accounts
        return wire.end_to_end(headers, reserved)
