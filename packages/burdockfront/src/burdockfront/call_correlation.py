"""Finds the request for which a backend server makes a call.

Where a backend server does not pass the request context on, the id of a call
may still show which request it is made for: many conventions derive it from the
id of the request, by appending to that id behind a separator. This is detected
instead of configured: an id that extends the id of a request which is at the
backend server now is that of a call made for it, because no other sender knows
such an id.

A call whose request is found inherits its rank and ordinal. Otherwise each call
of one browse request draws an ordinal of its own, and overloaded layers refuse
different requests: with one in two refused at each of four calls, hardly any
browse request completes.
"""

import re

from burdockfront import context as context_lib

_SEPARATOR = re.compile(r"[^A-Za-z0-9]")
# An id with more parts than the deepest chain of calls is not derived from
# request ids.
_MAX_PARTS = context_lib.MAX_DEPTH


class CallCorrelator:
    """Index of the requests that are at one node's backend server."""

    def __init__(self) -> None:
        self._attempts: dict[str, list[context_lib.RequestContext]] = {}

    def add(self, context: context_lib.RequestContext) -> None:
        """Adds a request that is handed to the backend server."""
        self._attempts.setdefault(context.request_id, []).append(context)

    def remove(self, context: context_lib.RequestContext) -> None:
        """Removes a request that the backend server has finished."""
        attempts = self._attempts[context.request_id]
        attempts.remove(context)
        if not attempts:
            del self._attempts[context.request_id]

    def parent_of(self, request_id: str) -> context_lib.RequestContext | None:
        """Returns the request that a call is made for, or None.

        Args:
            request_id: Id of the call.
        """
        if not self._attempts:
            return None
        ends = [match.start() for match in _SEPARATOR.finditer(request_id)]
        for end in reversed(ends[-_MAX_PARTS:]):
            attempts = self._attempts.get(request_id[:end])
            if attempts:
                return attempts[-1]
        return None
