"""The internal port: calls between nodes, gossip, announcements, operators.

Callers have no access to this port. Calls carry a signed context; all other
requests need a peer key (operators: an operator key) as bearer token.
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
from burdockfront_node import problems
from burdockfront_node.internal import asgi
from burdockfront_node.internal import compression
from burdockfront_node.internal import messages

JsonHandler = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]
_MAX_MESSAGE_BYTES = 16_000_000
_BEARER = "Bearer "


class CallHandler:
    """Serves calls of other nodes to this node's backend server.

    Args:
        guard: Runs the calls at the backend server.
        keys: Verify the signatures of contexts and tickets.
        recorder: Provides the clock whose stamps are exchanged with calls.
        fallback: Answers all requests of the port that are not calls.
        largest_body_bytes: Limit on the body of a call.
    """

    def __init__(
        self,
        guard: guard_lib.Guard,
        keys: keyring_lib.KeyRing,
        recorder: timeline.Recorder,
        fallback: applications.Starlette,
        largest_body_bytes: int,
    ):
        self._guard = guard
        self._keys = keys
        self._clock = recorder.clock
        self._fallback = fallback
        self._largest_body_bytes = largest_body_bytes

    def body_limit_bytes(self, target: str) -> int:
        """Returns the maximum body size.

        The node where a request entered has compared it with the limit of its
        operators or its service. Here only the memory of this node limits it:
        refused, it would fail at some servers and run at others.
        """
        return self._largest_body_bytes

    def may_overlap(self, request: messages.Request) -> bool:
        """Returns False: nodes do not pipeline requests."""
        return False

    async def serve(self, request: messages.Request) -> messages.Response:
        """Runs a call, or passes any other request to the fallback."""
        if not request.target.startswith(wire.CALL_PREFIX):
            if len(request.body) > _MAX_MESSAGE_BYTES:
                too_large = messages.BodyTooLargeError(_MAX_MESSAGE_BYTES)
                return messages.Response(413, (), str(too_large).encode())
            return await asgi.call(self._fallback, request)  # type: ignore[arg-type]
        try:
            attempt = self._attempt_of(request)
        except errors.BurdockfrontError as error:
            return messages.Response(403, (), str(error).encode())
        return self._response(attempt, await self._guard.handle(attempt))

    def body_wait_s(self, head: messages.Request) -> float:
        """Returns how long a large body may wait for memory."""
        attempt = self._attempt_of_head(head)
        if attempt is None:
            return messages.DEFAULT_BODY_WAIT_S
        return attempt.context.remaining_s * messages.BODY_WAIT_SHARE

    def refuse(
        self,
        error: errors.InvalidInputError,
        head: messages.Request | None = None,
    ) -> messages.Response:
        """Returns the response to a request that was not read whole.

        The node that made a call learns that it did not run. Without that it
        would have to assume that it may have.
        """
        attempt = self._attempt_of_head(head) if head is not None else None
        if attempt is None:
            return messages.Response(403, (), str(error).encode())
        refusal = problems.of_unread(error)
        return self._response(
            attempt, self._guard.refuse_unread(attempt, refusal)
        )

    def _response(
        self, attempt: calls.Attempt, answer: outcomes.Answer
    ) -> messages.Response:
        stamp = self._clock.tick(time.time())
        description = wire.encode_answer(
            answer, attempt.context.attempt_id, stamp
        )
        headers = (*answer.headers, (wire.ANSWER, description))
        return messages.Response(answer.status, headers, answer.body)

    def _attempt_of_head(self, head: messages.Request) -> calls.Attempt | None:
        """Returns the attempt of a call that is being read; None if none."""
        if not head.target.startswith(wire.CALL_PREFIX):
            return None
        try:
            return self._attempt_of(head)
        except errors.BurdockfrontError:
            return None

    def _attempt_of(self, request: messages.Request) -> calls.Attempt:
        received = wire.read_call(request.headers)
        context = context_lib.decode(received.context, self._keys)
        wire.restore_id(context, received.headers)
        self._clock.observe(received.stamp, time.time())
        ticket = None
        if received.ticket:
            ticket = tickets.decode(received.ticket, self._keys)
        remainder = request.target[len(wire.CALL_PREFIX) :]
        service, slash, target = remainder.partition("/")
        call = calls.Call(
            service=service,
            method=request.method,
            target=slash + target,
            headers=received.headers,
            body=request.body,
            context=context,
            deadline_s=request.arrived_s + context.remaining_s,
            pool=calls.allowance.AllowancePool(context.allowance),
            repeatable=received.metadata.repeatable,
            host=received.metadata.host,
            origin_service=received.metadata.origin_service,
            account=received.metadata.account,
            hold=request.hold,
        )
        return calls.Attempt(call, context, ticket, received.report)


def json_route(
    path: str,
    keys: Callable[[], keyring_lib.KeyRing],
    on_denied: Callable[[str], None],
    handler: JsonHandler,
) -> routing.Route:
    """Returns a route for JSON requests that is protected by bearer keys.

    Args:
        path: Path of the route.
        keys: Returns the accepted keys.
        on_denied: Called with the path when the key is missing or wrong.
        handler: Returns the JSON response to a JSON request.
    """

    async def endpoint(request: requests.Request) -> responses.Response:
        presented = request.headers.get("authorization", "")
        if not keys().accepts(presented.removeprefix(_BEARER)):
            on_denied(path)
            return _error(
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
                return _compressed_json(answer)
            return _json(200, answer)
        except errors.RevisionConflictError as error:
            return _error(409, type(error).__name__, str(error))
        except errors.PlatformError as error:
            return _error(503, type(error).__name__, str(error))
        except errors.BurdockfrontError as error:
            return _error(400, type(error).__name__, str(error))
        except (AttributeError, LookupError, TypeError, ValueError) as error:
            return _error(
                400,
                "InvalidInputError",
                f"expected a valid JSON message for {path}, got one that "
                f"raised {error!r}; both sides must run compatible releases.",
            )

    return routing.Route(path, endpoint, methods=["POST"])


async def _message_of(request: requests.Request) -> dict[str, Any]:
    body = compression.unpack(
        await request.body(),
        request.headers.get("content-encoding", ""),
        _MAX_MESSAGE_BYTES,
    )
    message: dict[str, Any] = orjson.loads(body) if body else {}
    return message


def _compressed_json(document: dict[str, Any]) -> responses.Response:
    body, encoding = compression.pack(orjson.dumps(document))
    headers = {"Content-Encoding": encoding} if encoding else None
    return responses.Response(body, 200, headers, media_type="application/json")


def _json(status: int, document: dict[str, Any]) -> responses.Response:
    return responses.Response(
        orjson.dumps(document), status, media_type="application/json"
    )


def _error(status: int, kind: str, message: str) -> responses.Response:
    return _json(status, {"error": kind, "message": message})
