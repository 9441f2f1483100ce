"""Finds the request for which a backend server makes a call.

Where a backend server passes no context on, its calls may still tell whom they
are made for: many conventions make the id of a call from that of its request,
by appending to it behind a separator. Whether a place does so is not assumed
but seen: an id that extends the id of a request which is at the backend server
right now is that of a call made for it. Nobody else knows such an id.

With its request known, a call inherits rank and ordinal. Without them each call
of a browse draws an ordinal of its own: layers under pressure then refuse
different requests, one in two at each of four calls, and nearly none survives
whole.
"""

import re

from burdockfront import context as context_lib

_SEPARATOR = re.compile(r"[^A-Za-z0-9]")
# Beyond so many parts an id is no chain of calls.
_MOST_PARTS = context_lib.MAX_DEPTH


class CallCorrelator:
    """Requests that are at one node's backend server."""

    def __init__(self) -> None:
        self._running: dict[str, list[context_lib.RequestContext]] = {}

    def add(self, context: context_lib.RequestContext) -> None:
        """Notes that a request is handed to the backend server."""
        self._running.setdefault(context.request_id, []).append(context)

    def remove(self, context: context_lib.RequestContext) -> None:
        """Notes that the backend server is done with a request."""
        attempts = self._running[context.request_id]
        attempts.remove(context)
        if not attempts:
            del self._running[context.request_id]

    def parent_of(self, request_id: str) -> context_lib.RequestContext | None:
        """Returns the request that a call is made for, if its id tells."""
        ends = [found.start() for found in _SEPARATOR.finditer(request_id)]
        for end in reversed(ends[-_MOST_PARTS:]):
            attempts = self._running.get(request_id[:end])
            if attempts:
                return attempts[-1]
        return None
