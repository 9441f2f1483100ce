"""The internal port: calls of nodes, exchange of state, announcements.

Callers never reach it. Calls carry a signed context; everything else wants
one of the peer keys (operators: one of the operator keys) as bearer token.
"""

import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import orjson
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from burdockfront import context as context_lib
from burdockfront import errors
from burdockfront import keyring as keyring_lib
from burdockfront import tickets
from burdockfront import timeline
from burdockfront_client import calls
from burdockfront_client import wire
from burdockfront_node import guard as guard_lib
from burdockfront_node.internal import asgi
from burdockfront_node.internal import compression
from burdockfront_node.internal import messages

JsonHandler = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]
_LARGEST_BODY_BYTES = 16_000_000
_BEARER = "Bearer "


class CallHandler:
    """Answers calls of other nodes to this node's backend server.

    Args:
        guard: Protects the backend server.
        keys: Keys that sign contexts and tickets.
        recorder: Its clock travels with calls.
        rest: Answers everything else that comes to the port.
    """

    def __init__(
        self,
        guard: guard_lib.Guard,
        keys: keyring_lib.KeyRing,
        recorder: timeline.Recorder,
        rest: applications.Starlette,
    ):
        self._guard = guard
        self._keys = keys
        self._clock = recorder.clock
        self._rest = rest

    def body_limit_bytes(self, target: str) -> int:
        """Returns the most that any service takes."""
        return _LARGEST_BODY_BYTES

    def may_overlap(self, request: messages.Request) -> bool:
        """Nodes wait for an answer before they send on a connection again."""
        return False

    async def serve(self, request: messages.Request) -> messages.Response:
        """Answers a call, or passes everything else on."""
        if not request.target.startswith(wire.CALL_PREFIX):
            return await asgi.call(self._rest, request)  # type: ignore[arg-type]
        try:
            attempt = self._attempt_of(request)
        except errors.BurdockfrontError as error:
            return messages.Response(403, (), str(error).encode())
        answer = await self._guard.handle(attempt)
        stamp = self._clock.tick(time.time())
        described = wire.encode_answer(
            answer, attempt.context.attempt_id, stamp
        )
        headers = (*answer.headers, (wire.ANSWER, described))
        return messages.Response(answer.status, headers, answer.body)

    def refuse(self, error: errors.InvalidInputError) -> messages.Response:
        """Returns the answer to a call that was not read whole."""
        return messages.Response(403, (), str(error).encode())

    def _attempt_of(self, request: messages.Request) -> calls.Attempt:
        told = wire.read_call(request.headers)
        context = context_lib.decode(told.context, self._keys)
        wire.restore_id(context, told.headers)
        self._clock.observe(told.stamp, time.time())
        ticket = None
        if told.ticket:
            ticket = tickets.decode(told.ticket, self._keys)
        rest = request.target[len(wire.CALL_PREFIX) :]
        service, slash, target = rest.partition("/")
        call = calls.Call(
            service=service,
            method=request.method,
            target=slash + target,
            headers=told.headers,
            body=request.body,
            context=context,
            deadline_s=request.arrived_s + context.remaining_s,
            pool=calls.allowance.AllowancePool(context.allowance),
            repeatable=told.mark.repeatable,
            host=told.mark.host,
            origin_service=told.mark.origin_service,
            account=told.mark.account,
        )
        return calls.Attempt(call, context, ticket, told.report)


def json_route(
    path: str,
    keys: Callable[[], keyring_lib.KeyRing],
    on_denied: Callable[[str], None],
    handler: JsonHandler,
) -> routing.Route:
    """Returns a route that takes and gives JSON, for holders of a key."""

    async def endpoint(request: requests.Request) -> responses.Response:
        presented = request.headers.get("authorization", "")
        if not keys().accepts(presented.removeprefix(_BEARER)):
            on_denied(path)
            return _refusal(
                401,
                "AuthenticationError",
                f"the key for {path} is missing or wrong; present one of the "
                f"keys in this node's settings as 'Authorization: Bearer'.",
            )
        try:
            message = await _message_of(request)
            answer = await handler(message)
            if compression.ENCODING in request.headers.get(
                "accept-encoding", ""
            ):
                return _packed(answer)
            return _json(200, answer)
        except errors.RevisionConflictError as error:
            return _refusal(409, type(error).__name__, str(error))
        except errors.PlatformError as error:
            return _refusal(503, type(error).__name__, str(error))
        except errors.BurdockfrontError as error:
            return _refusal(400, type(error).__name__, str(error))
        except (AttributeError, LookupError, TypeError, ValueError) as error:
            return _refusal(
                400,
                "InvalidInputError",
                f"expected a JSON message as {path} documents it, got one "
                f"with {error!r}; both sides must run compatible releases.",
            )

    return routing.Route(path, endpoint, methods=["POST"])


async def _message_of(request: requests.Request) -> dict[str, Any]:
    body = compression.unpack(
        await request.body(),
        request.headers.get("content-encoding", ""),
        _LARGEST_BODY_BYTES,
    )
    message: dict[str, Any] = orjson.loads(body) if body else {}
    return message


def _packed(document: dict[str, Any]) -> responses.Response:
    body, encoding = compression.pack(orjson.dumps(document))
    headers = {"Content-Encoding": encoding} if encoding else None
    return responses.Response(body, 200, headers, media_type="application/json")


def _json(status: int, document: dict[str, Any]) -> responses.Response:
    return responses.Response(
        orjson.dumps(document), status, media_type="application/json"
    )


def _refusal(status: int, kind: str, message: str) -> responses.Response:
    return _json(status, {"error": kind, "message": message})
