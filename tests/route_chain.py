"""The route filter of a node, with a simulated environment."""

import asyncio
import random

from burdockfront import context as context_lib
from burdockfront import fair_shares
from burdockfront import outcomes
from burdockfront import policy
from burdockfront import routes
from burdockfront import timeline
from burdockfront_bench.site_model import nodes
from burdockfront_client import attempts
from burdockfront_node import entry_refusals
from burdockfront_node.filters import base
from burdockfront_node.filters import route as route_lib
from burdockfront_node.internal import messages
from tests import builders

_HEADERS = (("host", "shop.example"), ("deadline", "9"), ("x", "y"))


class RouteChain:
    """A route filter and its dependencies.

    Args:
        table: The active table; None: there is none.
        new_work: Whether requests count as requests of callers.
        parent: The request on whose behalf each request is made.
        quotas: Quotas of the accounts.
        early_refusals: Whether the filter refuses new work above the level of
            its path.
        forecasts_levels: Whether retry-after times follow from the course of
            levels.
        shares: Accounts above their fair share; None: the part is off.
    """

    def __init__(
        self,
        table: routes.RouteTable | None,
        new_work: bool = True,
        parent: context_lib.RequestContext | None = None,
        quotas: base.Quotas | None = None,
        early_refusals: bool = True,
        forecasts_levels: bool = True,
        shares: fair_shares.ShareTracker | None = None,
    ):
        resolver = routes.RouteResolver(random.Random(1))
        if table is not None:
            resolver.accept(table)
        self.recorder = timeline.Recorder("n1", "dc1", 10)
        self.refusals = entry_refusals.EntryRefusals(self.recorder)
        self.dispatcher = builders.a_dispatcher(self.recorder)
        routed = base.RoutedTools(
            resolver,
            frozenset(["deadline"]),
            "timetable",
            lambda name: new_work,
            lambda request_id: parent,
            "x-api-key",
            frozenset(["x-api-key", "tenant"]),
            quotas or nodes.NoQuotas(),
            self.refusals,
            early_refusals,
            forecasts_levels,
            shares=shares,
        )
        tools = base.Tools(
            self.dispatcher,
            attempts.AttemptTracker(),
            policy.default,
            self.recorder,
            lambda call: None,
            routed,
        )
        self._filter = route_lib.RouteFilter(tools)

    def run(
        self, entry: base.Entry, answer: outcomes.Answer | None = None
    ) -> outcomes.Answer:
        """Filters an entry, and returns the answer to its caller."""

        async def last(entry: base.Entry) -> outcomes.Answer:
            return answer or builders.an_answer()

        return asyncio.run(self._filter(entry, last))


def an_entry(
    *headers: tuple[str, str], target: str = "/a/x", **changes: object
) -> base.Entry:
    request = messages.Request("GET", target, (*_HEADERS, *headers), b"")
    fields = {"caller_request_id": "r-1", "caller_timeout_s": 5.0}
    return base.Entry(request, **{**fields, **changes})
