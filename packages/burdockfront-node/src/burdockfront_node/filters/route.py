"""Finds the route of a request.

For nodes whose routes come from operators' one table: host and path select the
route.
"""

from burdockfront import outcomes
from burdockfront_node.filters import base

# Until the first table is here. Starting takes about as long.
_UNCONFIGURED_RETRY_S = 0.5


@base.FILTERS.register("route")
class RouteFilter:
    """Sets route, host and the table's version."""

    def __init__(self, tools: base.Tools):
        assert tools.routed is not None, "the chain of a node with routes"
        self._book = tools.routed.book

    async def __call__(
        self, entry: base.Entry, following: base.Next
    ) -> outcomes.Answer:
        """Refuses a request that no route matches."""
        if self._book.table is None:
            # Not "no such route": what is missing is our own knowledge.
            return outcomes.not_run(
                outcomes.Reason.NO_CONFIGURATION, _UNCONFIGURED_RETRY_S
            )
        request = entry.request
        entry.host = request.header("host") or ""
        entry.found = self._book.find(entry.host, request.target)
        if entry.found is None:
            return outcomes.not_run(outcomes.Reason.NO_ROUTE)
        entry.routes_version = self._book.version
        return await following(entry)
