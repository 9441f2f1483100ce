"""Refuses quarantined requests, which crashed backend servers, at the entry.

The guard refuses them as well. Refusing them here saves the transfer to the
guard, and callers learn at once when to retry.
"""

from collections.abc import Awaitable

from burdockfront import outcomes
from burdockfront_node.filters import base


@base.FILTERS.register("quarantine")
class QuarantineFilter:
    """Refuses requests that are in quarantine."""

    def __init__(self, tools: base.Tools):
        self._refusal_of = tools.refusal_of

    def __call__(
        self, entry: base.Entry, following: base.Next
    ) -> Awaitable[outcomes.Answer]:
        """Refuses quarantined requests, except those with a ticket.

        A request with a ticket may have run before, so it is passed on.
        """
        assert entry.call is not None
        refusal = None
        if entry.ticket is None:
            refusal = self._refusal_of(entry.call)
        return following(entry) if refusal is None else _return(refusal)


async def _return(refusal: outcomes.Answer) -> outcomes.Answer:
    return refusal
