"""Queries the state of a ticket at its owner.

A caller whose answer was lost queries the state before it repeats the request.
States: `never-seen` (not run so far), `running`, `done`, `not-run` (closed: it
will never run), `moved`, `unknown`.
"""

import orjson

from burdockfront import errors
from burdockfront import ledger
from burdockfront import outcomes
from burdockfront import tickets
from burdockfront_client import dispatcher as dispatcher_lib
from burdockfront_node import guard as guard_lib

PATH = "/peer/ticket"
_TIMEOUT_S = 1.0
_LIMIT_BYTES = 10_000
_MAX_MOVES = 4


class TicketStatus:
    """Queries the owners of tickets.

    Args:
        guard: This node's guard, which owns tickets itself.
        dispatcher: Finds other owners.
        headers: Headers that authenticate this node to its peers.
    """

    def __init__(
        self,
        guard: guard_lib.Guard,
        dispatcher: dispatcher_lib.Dispatcher,
        headers: dict[str, str],
    ):
        self._guard = guard
        self._dispatcher = dispatcher
        self._headers = headers

    async def query(self, ticket: tickets.Ticket) -> str:
        """Returns the state of a ticket, following moves."""
        for _ in range(_MAX_MOVES):
            state, moved_to = await self._query_owner(ticket)
            if not moved_to:
                return state
            ticket = tickets.decode(moved_to, self._dispatcher.sender.keys)
        return "unknown"

    def local_state(self, ticket: tickets.Ticket) -> tuple[str, str]:
        """Returns state and successor ticket from this node's ledger."""
        verdict = self._guard.tickets.look_up(ticket)
        return _state_of(verdict), verdict.moved_to or ""

    async def _query_owner(self, ticket: tickets.Ticket) -> tuple[str, str]:
        if ticket.owner == self._guard.node_id:
            return self.local_state(ticket)
        owner = self._dispatcher.router.find(ticket.service, ticket.owner)
        if owner is None or owner.boot_id != ticket.boot_id:
            return "unknown", ""
        text = tickets.encode(ticket, self._dispatcher.sender.keys)
        try:
            reply = await self._dispatcher.sender.peers.request(
                owner.address,
                "POST",
                PATH,
                self._headers,
                orjson.dumps({"ticket": text}),
                _TIMEOUT_S,
                _LIMIT_BYTES,
            )
        except errors.DispatchError:
            return "unknown", ""
        if reply.status != 200:
            return "unknown", ""
        data = orjson.loads(reply.body)
        return data["state"], data["moved_to"]


def _state_of(verdict: ledger.Verdict) -> str:
    match verdict.decision:
        case ledger.Decision.RUN:
            return "never-seen"
        case ledger.Decision.WAIT:
            return "running"
        case ledger.Decision.FORWARD:
            return "moved"
        case ledger.Decision.FORGOTTEN:
            return outcomes.Outcome.DONE.value
        case ledger.Decision.REFUSE:
            return "unknown"
        case _:
            assert verdict.answer is not None
            if verdict.answer.outcome is outcomes.Outcome.NOT_RUN:
                return "not-run"
            return verdict.answer.outcome.value
