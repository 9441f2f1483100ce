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
# With more lengths of ids than this, a search for separators is faster.
_MAX_LENGTHS = 8


class CallCorrelator:
    """Index of the requests that are at one node's backend server."""

    def __init__(self) -> None:
        self._attempts: dict[str, list[context_lib.RequestContext]] = {}
        # Number of the ids above, by length.
        self._lengths: dict[int, int] = {}

    def add(self, context: context_lib.RequestContext) -> None:
        """Adds a request that is handed to the backend server."""
        request_id = context.request_id
        attempts = self._attempts.get(request_id)
        if attempts is not None:
            attempts.append(context)
            return
        self._attempts[request_id] = [context]
        length = len(request_id)
        self._lengths[length] = self._lengths.get(length, 0) + 1

    def remove(self, context: context_lib.RequestContext) -> None:
        """Removes a request that the backend server has finished."""
        attempts = self._attempts[context.request_id]
        attempts.remove(context)
        if attempts:
            return
        del self._attempts[context.request_id]
        length = len(context.request_id)
        self._lengths[length] -= 1
        if not self._lengths[length]:
            del self._lengths[length]

    def parent_of(self, request_id: str) -> context_lib.RequestContext | None:
        """Returns the request that a call is made for, or None.

        Args:
            request_id: Id of the call.
        """
        if len(self._lengths) <= _MAX_LENGTHS:
            return self._parent_by_length(request_id)
        ends = [match.start() for match in _SEPARATOR.finditer(request_id)]
        for end in reversed(ends[-_MAX_PARTS:]):
            attempts = self._attempts.get(request_id[:end])
            if attempts:
                return attempts[-1]
        return None

    def _parent_by_length(
        self, request_id: str
    ) -> context_lib.RequestContext | None:
        """Returns the same as `parent_of`, from the lengths of the known ids.

        The ids of a deployment have few lengths, so this needs fewer steps than
        a search for separators.
        """
        longest = -1
        for length in self._lengths:
            if length > longest and request_id[:length] in self._attempts:
                rest = request_id[length : length + 1]
                if _SEPARATOR.match(rest):
                    longest = length
        if longest < 0:
            return None
        if len(_SEPARATOR.findall(request_id, longest)) > _MAX_PARTS:
            return None
        return self._attempts[request_id[:longest]][-1]
