"""The port of callers whose requests are selected by operators' routes."""

import asyncio
import logging
from collections.abc import Callable

from burdockfront import errors
from burdockfront import outcomes
from burdockfront import routes
from burdockfront_node import surroundings
from burdockfront_node.filters import base
from burdockfront_node.internal import asgi

_LOG = logging.getLogger(__name__)
# Callers come back to another node, or to the next process at this place.
_LEAVING_RETRY_S = 0.5


class RoutedEntryApp:
    """The ASGI application for callers and for the backend server's calls.

    Args:
        chain: First link of the chain of filters.
        dialect: How callers speak.
        book: The table in force, for its limits.
        takes_requests: Tells whether new requests are still taken.
    """

    def __init__(
        self,
        chain: base.Next,
        dialect: surroundings.Dialect,
        book: routes.RouteBook,
        takes_requests: Callable[[], bool],
    ):
        self._chain = chain
        self._dialect = dialect
        self._book = book
        self._takes_requests = takes_requests

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        request_id = ""
        try:
            request = await self._read(scope, receive)
            entry = self._entry_of(request)
            request_id = entry.caller_request_id
        except errors.InvalidInputError as error:
            await self._send(send, _refusal_of(error), request_id)
            return
        except asgi.CallerGoneError:
            return
        if not self._takes_requests():
            await self._send(send, _leaving(), request_id, last=True)
            return
        answer = await asgi.watch_of(scope).unless_gone(self._answer(entry))
        if answer is not None:
            await self._send(send, answer, request_id)

    async def _read(
        self, scope: asgi.Scope, receive: asgi.Receive
    ) -> asgi.Request:
        """Reads a whole request, for as long as a caller may be idle."""
        limits = self._book.limits
        try:
            async with asyncio.timeout(limits.idle_timeout_s):
                return await asgi.read_request(
                    scope, receive, limits.body_bytes
                )
        except TimeoutError:
            raise asgi.BodyTooSlowError(limits.idle_timeout_s) from None

    def _entry_of(self, request: asgi.Request) -> base.Entry:
        terms = self._dialect.terms_of(request.headers)
        return base.Entry(
            request,
            caller_request_id=terms.request_id,
            caller_waits_s=terms.remaining_s,
        )

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

    async def _send(
        self,
        send: asgi.Send,
        answer: outcomes.Answer,
        request_id: str,
        last: bool = False,
    ) -> None:
        """Sends an answer; the last one of its connection closes it."""
        told = self._dialect.to_caller(answer, request_id)
        headers = list(told.headers)
        if last:
            headers.append(("Connection", "close"))
        await asgi.respond(send, told.status, headers, told.body)


def _leaving() -> outcomes.Answer:
    return outcomes.not_run(outcomes.Reason.DRAINING, _LEAVING_RETRY_S)


def _refusal_of(error: errors.InvalidInputError) -> outcomes.Answer:
    """Returns the refusal of input that is not valid."""
    reason = outcomes.Reason.BAD_REQUEST
    if isinstance(error, asgi.BodyTooLargeError):
        reason = outcomes.Reason.TOO_LARGE
    elif isinstance(error, asgi.BodyTooSlowError):
        reason = outcomes.Reason.TOO_SLOW
    return outcomes.refused_input(reason, str(error))
