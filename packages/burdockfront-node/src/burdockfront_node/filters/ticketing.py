"""Requires a ticket for confirmations, as the header `Idempotency-Key`.

A key that a caller generates itself is not safe: if the caller repeats the
request at another node, that node can't know whether the first one ran it. A
confirmation without a ticket is therefore refused at once, and the refusal
carries a new ticket. This costs the caller one additional round trip.
"""

import dataclasses

from burdockfront import outcomes
from burdockfront import tickets
from burdockfront_client import wire
from burdockfront_node.filters import base


@base.FILTERS.register("ticketing")
class Ticketing:
    """Checks the tickets of confirmations."""

    def __init__(self, tools: base.Tools):
        self._dispatcher = tools.dispatcher

    async def __call__(
        self, entry: base.Entry, following: base.Next
    ) -> outcomes.Answer:
        """Refuses a confirmation without a ticket for its service."""
        assert entry.call is not None
        if entry.parent is not None or entry.call.idempotent:
            return await following(entry)
        text = entry.request.header(wire.IDEMPOTENCY_KEY.lower())
        if text is None:
            return self._refuse(entry, outcomes.Reason.TICKET_NEEDED)
        ticket = tickets.decode(text, self._dispatcher.sender.keys)
        if ticket.service != entry.service:
            return self._refuse(entry, outcomes.Reason.TICKET_BAD)
        entry.ticket = ticket
        entry.call = dataclasses.replace(entry.call, ticket=ticket)
        answer = await following(entry)
        if answer.outcome is outcomes.Outcome.NOT_RUN:
            self._offer_ticket(entry)
        return answer

    def _refuse(
        self, entry: base.Entry, reason: outcomes.Reason
    ) -> outcomes.Answer:
        self._offer_ticket(entry)
        return outcomes.not_run(reason, 0.0)

    def _offer_ticket(self, entry: base.Entry) -> None:
        ticket = self._dispatcher.mint(entry.service)
        if ticket is not None:
            keys = self._dispatcher.sender.keys
            entry.fresh_ticket = tickets.encode(ticket, keys)
