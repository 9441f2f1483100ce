"""Last filter of the chain: dispatches the call to a guard."""

from collections.abc import Awaitable

from burdockfront import outcomes
from burdockfront_node.filters import base


@base.FILTERS.register("dispatch")
class Dispatch:
    """Returns the dispatcher's final answer to the call."""

    def __init__(self, tools: base.Tools):
        self._dispatcher = tools.dispatcher

    def __call__(
        self, entry: base.Entry, following: base.Next
    ) -> Awaitable[outcomes.Answer]:
        """Answers the request; ignores `following`."""
        assert entry.call is not None
        return self._dispatcher.call(entry.call)
