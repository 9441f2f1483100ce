"""The port of callers whose requests are selected by operators' routes."""

import logging
from collections.abc import Callable

from burdockfront import errors
from burdockfront import outcomes
from burdockfront import routes
from burdockfront_node import adapters
from burdockfront_node.filters import base
from burdockfront_node.internal import messages

_LOG = logging.getLogger(__name__)
# Callers come back to another node, or to the next process at this place.
_LEAVING_RETRY_S = 0.5


class RoutedEntry:
    """Answers callers, and the backend server's own calls.

    Args:
        chain: First link of the chain of filters.
        dialect: How callers speak.
        book: The table in force, for its limits.
        takes_requests: Tells whether new requests are still taken.
    """

    def __init__(
        self,
        chain: base.Next,
        dialect: adapters.Dialect,
        book: routes.RouteResolver,
        takes_requests: Callable[[], bool],
    ):
        self._chain = chain
        self._dialect = dialect
        self._book = book
        self._takes_requests = takes_requests

    def body_limit_bytes(self, target: str) -> int:
        """Returns the largest body that operators allow."""
        return self._book.limits.body_bytes

    def may_overlap(self, request: messages.Request) -> bool:
        """Whether the route says that running it again does no harm."""
        host = request.header("host") or ""
        route = self._book.route_of(host, request.target)
        return route is None or route.repeat is routes.Repeat.IDEMPOTENT

    async def serve(self, request: messages.Request) -> messages.Response:
        """Answers one request."""
        try:
            terms = self._dialect.terms_of(request.headers)
        except errors.InvalidInputError as error:
            return self.refuse(error)
        request_id = terms.request_id
        if not self._takes_requests():
            return self._response(_leaving(), request_id, closes=True)
        entry = base.Entry(
            request,
            caller_request_id=request_id,
            caller_timeout_s=terms.remaining_s,
        )
        return self._response(await self._answer(entry), request_id)

    def refuse(self, error: errors.InvalidInputError) -> messages.Response:
        """Returns the answer to a request that can't be read."""
        return self._response(_refusal_of(error), "")

    async def _answer(self, entry: base.Entry) -> outcomes.Answer:
        try:
            return await self._chain(entry)
        except errors.InvalidInputError as error:
            return _refusal_of(error)
        except Exception:
            # One request that meets a fault must not look like one that did
            # not run: nobody knows how far it came.
            _LOG.exception(
                "request failed", extra={"request": entry.caller_request_id}
            )
            return outcomes.unknown(outcomes.Reason.LOST_ANSWER)

    def _response(
        self, answer: outcomes.Answer, request_id: str, closes: bool = False
    ) -> messages.Response:
        told = self._dialect.to_caller(answer, request_id)
        return messages.Response(told.status, told.headers, told.body, closes)


def _leaving() -> outcomes.Answer:
    return outcomes.not_run(outcomes.Reason.DRAINING, _LEAVING_RETRY_S)


def _refusal_of(error: errors.InvalidInputError) -> outcomes.Answer:
    """Returns the refusal of input that is not valid."""
    reason = outcomes.Reason.BAD_REQUEST
    if isinstance(error, messages.BodyTooLargeError):
        reason = outcomes.Reason.TOO_LARGE
    elif isinstance(error, messages.BodyTooSlowError):
        reason = outcomes.Reason.TOO_SLOW
    return outcomes.refused_input(reason, str(error))
