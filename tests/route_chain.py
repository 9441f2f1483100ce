"""The filter of a node with routes, with a place around it."""

import asyncio
import random

from burdockfront import context as context_lib
from burdockfront import outcomes
from burdockfront import policy
from burdockfront import routes
from burdockfront import timeline
from burdockfront_bench.site_model import nodes
from burdockfront_client import attempts
from burdockfront_node.filters import base
from burdockfront_node.filters import route as route_lib
from burdockfront_node.internal import messages
from tests import builders

_HEADERS = (("host", "shop.example"), ("deadline", "9"), ("x", "y"))


class RouteChain:
    """A filter of routes, and what it uses.

    Args:
        table: The table in force; None: none is known.
        new_work: Whether requests are taken for callers'.
        parent: The request that each one is made for.
        quotas: What accounts may spend.
    """

    def __init__(
        self,
        table: routes.RouteTable | None,
        new_work: bool = True,
        parent: context_lib.RequestContext | None = None,
        quotas: base.Quotas | None = None,
    ):
        book = routes.RouteResolver(random.Random(1))
        if table is not None:
            book.accept(table)
        self.recorder = timeline.Recorder("n1", "dc1", 10)
        routed = base.RoutedTools(
            book,
            frozenset(["deadline"]),
            "timetable",
            lambda name: new_work,
            lambda request_id: parent,
            "x-api-key",
            frozenset(["x-api-key", "tenant"]),
            quotas or nodes.NoQuotas(),
        )
        tools = base.Tools(
            builders.a_dispatcher(self.recorder),
            attempts.AttemptBook(),
            policy.default,
            self.recorder,
            lambda call: None,
            routed,
        )
        self._link = route_lib.RouteFilter(tools)

    def run(
        self, entry: base.Entry, answer: outcomes.Answer | None = None
    ) -> outcomes.Answer:
        """Brings an entry through, and returns what its caller gets."""

        async def last(entry: base.Entry) -> outcomes.Answer:
            return answer or builders.an_answer()

        return asyncio.run(self._link(entry, last))


def an_entry(
    *headers: tuple[str, str], target: str = "/a/x", **changes: object
) -> base.Entry:
    request = messages.Request("GET", target, (*_HEADERS, *headers), b"")
    fields = {"caller_request_id": "r-1", "caller_timeout_s": 5.0}
    return base.Entry(request, **{**fields, **changes})
