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
from burdockfront import outcomes
from burdockfront import tickets
from burdockfront import timeline
from burdockfront_client import calls
from burdockfront_client import wire
from burdockfront_node import guard as guard_lib
from burdockfront_node.internal import asgi

JsonHandler = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]
_LARGEST_BODY_BYTES = 16_000_000
_BEARER = "Bearer "


class CallApp:
    """The hot path: calls of other nodes to this node's backend server."""

    def __init__(
        self,
        guard: guard_lib.Guard,
        keys: keyring_lib.KeyRing,
        recorder: timeline.Recorder,
        rest: applications.Starlette,
    ):
        self._guard = guard
        self._keys = keys
        self._recorder = recorder
        self._rest = rest

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves a call, or passes everything else on."""
        is_call = scope["type"] == "http" and scope["path"].startswith(
            wire.CALL_PREFIX
        )
        if not is_call:
            await self._rest(scope, receive, send)  # type: ignore[arg-type]
            return
        try:
            request = await asgi.read_request(
                scope, receive, _LARGEST_BODY_BYTES
            )
            attempt = self._attempt_of(request)
        except asgi.CallerGoneError:
            return
        except errors.BurdockfrontError as error:
            await asgi.respond(send, 403, [], str(error).encode())
            return
        answer = await asgi.watch_of(scope).unless_gone(
            self._guard.handle(attempt)
        )
        if answer is not None:
            await self._send(send, attempt, answer)

    def _attempt_of(self, request: asgi.Request) -> calls.Attempt:
        signed = request.header(context_lib.HEADER.lower()) or ""
        context = context_lib.decode(signed, self._keys)
        stamp = request.header(wire.STAMP.lower())
        self._recorder.clock.observe(int(stamp or 0), time.time())
        text = request.header(wire.TICKET.lower())
        ticket = tickets.decode(text, self._keys) if text else None
        mark = wire.decode_mark(request.header(wire.MARK.lower()))
        rest = request.target.removeprefix(wire.CALL_PREFIX)
        service, slash, target = rest.partition("/")
        call = calls.Call(
            service=service,
            method=request.method,
            target=slash + target,
            headers=wire.end_to_end(request.headers),
            body=request.body,
            context=context,
            deadline_s=time.monotonic() + context.remaining_s,
            pool=calls.allowance.AllowancePool(context.allowance),
            repeatable=mark.repeatable,
            host=mark.host,
            origin_service=mark.origin_service,
        )
        return calls.Attempt(call, context, ticket)

    async def _send(
        self,
        send: asgi.Send,
        attempt: calls.Attempt,
        answer: outcomes.Answer,
    ) -> None:
        stamp = self._recorder.clock.tick(time.time())
        described = wire.encode_answer(
            answer, attempt.context.attempt_id, stamp
        )
        headers = [*answer.headers, (wire.ANSWER, described)]
        await asgi.respond(send, answer.status, headers, answer.body)


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
            body = await request.body()
            message = orjson.loads(body) if body else {}
            return _json(200, await handler(message))
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


def _json(status: int, document: dict[str, Any]) -> responses.Response:
    return responses.Response(
        orjson.dumps(document), status, media_type="application/json"
    )


def _refusal(status: int, kind: str, message: str) -> responses.Response:
    return _json(status, {"error": kind, "message": message})
