"""The callers' port: serves plain HTTP requests with complete answers."""

import asyncio
import logging

import orjson

from burdockfront import errors
from burdockfront import outcomes
from burdockfront import policy
from burdockfront import tickets
from burdockfront_client import wire
from burdockfront_node import problems
from burdockfront_node import ticket_status
from burdockfront_node.filters import base
from burdockfront_node.internal import messages

_LOG = logging.getLogger(__name__)
_TICKETS = "/tickets/"
_HEALTH = "/health"
_MAX_BODY_BYTES = 16_000_000


class Entry:
    """Answers the requests of the callers' port.

    Args:
        chain: First link of the filter chain.
        tools: Components of the node that the filters use.
        status: Looks up tickets.
        ready: Whether this node may take requests.
    """

    def __init__(
        self,
        chain: base.Next,
        tools: base.Tools,
        status: ticket_status.TicketStatus,
        ready: asyncio.Event,
    ):
        self._chain = chain
        self._tools = tools
        self._status = status
        self._ready = ready

    def body_limit_bytes(self, target: str) -> int:
        """Returns the body limit of the service named in the path."""
        service = target.partition("?")[0].split("/", 2)[1:2]
        known = self._tools.dispatcher.router.services()
        if service and service[0] in known:
            return self._tools.policy_of(service[0]).body_limit_bytes
        return _MAX_BODY_BYTES

    def may_overlap(self, request: messages.Request) -> bool:
        """Whether a request is idempotent, by its method."""
        return request.method in policy.IDEMPOTENT_METHODS

    async def serve(self, request: messages.Request) -> messages.Response:
        """Answers one request."""
        entry = base.Entry(request)
        return _response(entry, await self._answer(entry))

    def body_wait_s(self, head: messages.Request) -> float:
        """Returns how long a large body may wait for memory."""
        return messages.DEFAULT_BODY_WAIT_S

    def refuse(
        self,
        error: errors.InvalidInputError,
        head: messages.Request | None = None,
    ) -> messages.Response:
        """Returns the answer to a request that could not be read completely."""
        nothing_read = base.Entry(messages.Request("", "", (), b""))
        return _response(nothing_read, problems.of_error(error))

    async def _answer(self, entry: base.Entry) -> outcomes.Answer:
        try:
            path = entry.request.target
            if path == _HEALTH:
                return self._health()
            if path.startswith(_TICKETS):
                return await self._tickets(entry, path)
            if not self._ready.is_set():
                return outcomes.not_run(outcomes.Reason.NO_BACKEND, 1.0)
            return await self._chain(entry)
        except (
            errors.InvalidInputError,
            errors.AuthenticationError,
            errors.TicketError,
        ) as error:
            return problems.of_error(error)
        except Exception:
            # An internal error must not look like an answer of the service:
            # without an outcome the caller could not tell whether it ran.
            _LOG.exception("a request failed with an internal error")
            return outcomes.unknown(outcomes.Reason.LOST_ANSWER, 1.0)

    def _health(self) -> outcomes.Answer:
        ready = self._ready.is_set()
        return _json(200 if ready else 503, {"ready": ready})

    async def _tickets(self, entry: base.Entry, path: str) -> outcomes.Answer:
        """Serves `POST /tickets/SERVICE` and `GET /tickets/SERVICE`."""
        service = path.removeprefix(_TICKETS).partition("?")[0]
        if entry.request.method == "POST":
            return self._new_ticket(service)
        text = entry.request.header(wire.IDEMPOTENCY_KEY.lower())
        if text is None:
            raise errors.MalformedTicketError()
        ticket = tickets.decode(text, self._tools.dispatcher.sender.keys)
        state = await self._status.query(ticket)
        return _json(200, {"ticket": text, "state": state})

    def _new_ticket(self, service: str) -> outcomes.Answer:
        ticket = self._tools.dispatcher.mint(service)
        if ticket is None:
            return outcomes.not_run(outcomes.Reason.NO_BACKEND, 1.0)
        keys = self._tools.dispatcher.sender.keys
        return _json(201, {"ticket": tickets.encode(ticket, keys)})


def _response(entry: base.Entry, answer: outcomes.Answer) -> messages.Response:
    headers, body = problems.to_http(entry, answer)
    return messages.Response(answer.status, tuple(headers), body)


def _json(status: int, document: dict[str, object]) -> outcomes.Answer:
    return outcomes.Answer(
        outcome=outcomes.Outcome.DONE,
        status=status,
        headers=(("Content-Type", "application/json"),),
        body=orjson.dumps(document),
    )
