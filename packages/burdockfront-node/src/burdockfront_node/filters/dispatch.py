"""The end of the chain: the call goes to a guard."""

from burdockfront import outcomes
from burdockfront_node.filters import base


@base.FILTERS.register("dispatch")
class Dispatch:
    """Brings the call to its final answer."""

    def __init__(self, tools: base.Tools):
        self._dispatcher = tools.dispatcher

    async def __call__(
        self, entry: base.Entry, following: base.Next
    ) -> outcomes.Answer:
        """Asks nobody further."""
        assert entry.call is not None
        return await self._dispatcher.call(entry.call)
