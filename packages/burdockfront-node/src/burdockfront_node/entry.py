"""The callers' port: plain HTTP in, one whole answer out."""

import asyncio
import logging

import orjson

from burdockfront import errors
from burdockfront import outcomes
from burdockfront import tickets
from burdockfront_client import wire
from burdockfront_node import problems
from burdockfront_node import ticket_status
from burdockfront_node.filters import base
from burdockfront_node.internal import asgi

_LOG = logging.getLogger(__name__)
_TICKETS = "/tickets/"
_HEALTH = "/health"
_LARGEST_BODY_BYTES = 16_000_000


class EntryApp:
    """The ASGI application of the callers' port.

    Args:
        chain: First link of the chain of filters.
        tools: What the node offers.
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

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        try:
            request = await asgi.read_request(
                scope, receive, self._limit_bytes(scope)
            )
            entry = base.Entry(request)
        except errors.InvalidInputError as error:
            entry = base.Entry(_nothing_read(scope))
            await self._send(send, entry, problems.of_error(error))
            return
        except asgi.CallerGoneError:
            return
        answer = await asgi.watch_of(scope).unless_gone(self._answer(entry))
        if answer is not None:
            await self._send(send, entry, answer)

    def _limit_bytes(self, scope: asgi.Scope) -> int:
        """Returns the limit of the service named in the path."""
        service = scope["path"].split("/", 2)[1]
        known = self._tools.dispatcher.router.services()
        if service in known:
            return self._tools.policy_of(service).body_limit_bytes
        return _LARGEST_BODY_BYTES

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
            # A fault of ours must not look like an answer of the service:
            # without an outcome the caller could not tell what ran.
            _LOG.exception("a request failed inside the node")
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
        state = await self._status.ask(ticket)
        return _json(200, {"ticket": text, "state": state})

    def _new_ticket(self, service: str) -> outcomes.Answer:
        ticket = self._tools.dispatcher.mint(service)
        if ticket is None:
            return outcomes.not_run(outcomes.Reason.NO_BACKEND, 1.0)
        keys = self._tools.dispatcher.sender.keys
        return _json(201, {"ticket": tickets.encode(ticket, keys)})

    async def _send(
        self, send: asgi.Send, entry: base.Entry, answer: outcomes.Answer
    ) -> None:
        headers, body = problems.to_http(entry, answer)
        await asgi.respond(send, answer.status, headers, body)


def _json(status: int, document: dict[str, object]) -> outcomes.Answer:
    return outcomes.Answer(
        outcome=outcomes.Outcome.DONE,
        status=status,
        headers=(("Content-Type", "application/json"),),
        body=orjson.dumps(document),
    )


def _nothing_read(scope: asgi.Scope) -> asgi.Request:
    return asgi.Request(scope["method"], scope["path"], (), b"")
