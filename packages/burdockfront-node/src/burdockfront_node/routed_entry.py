"""The callers' port of a routed node."""

import logging
from collections.abc import Callable

from burdockfront import errors
from burdockfront import outcomes
from burdockfront import routes
from burdockfront_node import adapters
from burdockfront_node import problems
from burdockfront_node.filters import base
from burdockfront_node.internal import messages

_LOG = logging.getLogger(__name__)
# Callers retry at another node, or at the process that replaces this one.
_LEAVING_RETRY_S = 0.5


class RoutedEntry:
    """Answers callers, and the nested calls of the backend server.

    Args:
        chain: First link of the filter chain.
        dialect: Translates the headers of callers.
        resolver: The active route table, which has the limits of requests.
        takes_requests: Returns whether new requests are still accepted.
    """

    def __init__(
        self,
        chain: base.Next,
        dialect: adapters.Dialect,
        resolver: routes.RouteResolver,
        takes_requests: Callable[[], bool],
    ):
        self._chain = chain
        self._dialect = dialect
        self._resolver = resolver
        self._takes_requests = takes_requests

    def body_limit_bytes(self, target: str) -> int:
        """Returns the body limit that operators set."""
        return self._resolver.limits.body_bytes

    def may_overlap(self, request: messages.Request) -> bool:
        """Whether a request is idempotent, by its route."""
        host = request.header("host") or ""
        route = self._resolver.route_of(host, request.target)
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
        try:
            answer = await self._chain(entry)
        except errors.InvalidInputError as error:
            answer = problems.of_unread(error)
        except Exception:
            # An internal error must not look like a request that did not run:
            # the request may have reached the backend server.
            _LOG.exception("request failed", extra={"request": request_id})
            answer = outcomes.unknown(outcomes.Reason.LOST_ANSWER)
        return self._response(answer, request_id)

    def body_wait_s(self, head: messages.Request) -> float:
        """Returns how long a large body may wait for memory."""
        try:
            remaining_s = self._dialect.terms_of(head.headers).remaining_s
        except errors.InvalidInputError:
            # It is refused when it has been read.
            remaining_s = None
        if remaining_s is None:
            return messages.DEFAULT_BODY_WAIT_S
        return remaining_s * messages.BODY_WAIT_SHARE

    def refuse(
        self,
        error: errors.InvalidInputError,
        head: messages.Request | None = None,
    ) -> messages.Response:
        """Returns the answer to a request that can't be parsed."""
        request_id = ""
        if head is not None:
            try:
                request_id = self._dialect.terms_of(head.headers).request_id
            except errors.InvalidInputError:
                pass
        return self._response(problems.of_unread(error), request_id)

    def _response(
        self, answer: outcomes.Answer, request_id: str, closes: bool = False
    ) -> messages.Response:
        sent = self._dialect.to_caller(answer, request_id)
        return messages.Response(sent.status, sent.headers, sent.body, closes)


def _leaving() -> outcomes.Answer:
    return outcomes.not_run(outcomes.Reason.DRAINING, _LEAVING_RETRY_S)
