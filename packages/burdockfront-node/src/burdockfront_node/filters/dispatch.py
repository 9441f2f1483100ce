"""Last filter of the chain: dispatches the call to a guard."""

from burdockfront import outcomes
from burdockfront_node.filters import base


@base.FILTERS.register("dispatch")
class Dispatch:
    """Returns the dispatcher's final answer to the call."""

    def __init__(self, tools: base.Tools):
        self._dispatcher = tools.dispatcher

    async def __call__(
        self, entry: base.Entry, following: base.Next
    ) -> outcomes.Answer:
        """Answers the request; ignores `following`."""
        assert entry.call is not None
        return await self._dispatcher.call(entry.call)
