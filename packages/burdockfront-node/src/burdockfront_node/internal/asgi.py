"""The thin edge between uvicorn and the filter chain.

The hot paths are plain ASGI applications: routing, middleware and request
objects of a framework cost more than the decisions themselves. Everything
else (peers' exchange, operators) uses starlette.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

from burdockfront import errors

T = TypeVar("T")
Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class BodyTooLargeError(errors.InvalidInputError):
    """The request body is larger than allowed."""

    def __init__(self, limit_bytes: int):
        super().__init__(
            f"expected a body of at most {limit_bytes} bytes, got more; send "
            f"less, or raise body_limit_bytes in the policy of the service."
        )


class BodyTooSlowError(errors.InvalidInputError):
    """The request body did not arrive in time."""

    def __init__(self, limit_s: float):
        super().__init__(
            f"expected the whole body within {limit_s:g} s, but it did not "
            f"arrive; nothing was passed on. Send the request again."
        )


class CallerGoneError(errors.BurdockfrontError):
    """The other side closed the connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A whole request.

    Attributes:
        method: HTTP method.
        target: Encoded path and query.
        headers: All headers, names in lower case.
        body: The whole body.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """Returns the first header of this lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


# Extensions of a request's scope, set by the connection.
TARGET = "target"
CALLER = "caller"


async def read_request(
    scope: Scope, receive: Receive, limit_bytes: int
) -> Request:
    """Reads a whole request.

    Raises:
        BodyTooLargeError: The body is larger than `limit_bytes`.
        CallerGoneError: The connection closed before the end of the body.
    """
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in scope["headers"]
    )
    body = await _read_body(receive, limit_bytes)
    return Request(scope["method"], _target_of(scope), headers, body)


def _target_of(scope: Scope) -> str:
    """Returns path and query, exactly as they were sent if that is known."""
    exact = scope.get("extensions", {}).get(TARGET)
    if exact is not None:
        return exact["raw"].decode("latin-1")
    path = scope["raw_path"].decode("latin-1").partition("?")[0]
    query = scope["query_string"].decode("latin-1")
    return f"{path}?{query}" if query else path


async def _read_body(receive: Receive, limit_bytes: int) -> bytes:
    parts = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGoneError("the caller closed before the whole request")
        part = message.get("body", b"")
        size += len(part)
        if size > limit_bytes:
            raise BodyTooLargeError(limit_bytes)
        parts.append(part)
        if not message.get("more_body", False):
            return b"".join(parts)


async def respond(
    send: Send,
    status: int,
    headers: list[tuple[str, str]],
    body: bytes,
) -> None:
    """Sends a whole answer."""
    raw = [(k.encode("latin-1"), v.encode("latin-1")) for k, v in headers]
    raw.append((b"content-length", str(len(body)).encode()))
    await send(
        {"type": "http.response.start", "status": status, "headers": raw}
    )
    await send({"type": "http.response.body", "body": body})


class CallerWatch:
    """Tells the task that serves a request that its caller has gone.

    The connection does so itself. A second task for each request that waits for
    the loss cost a tenth of what a call costs in all.
    """

    def __init__(self) -> None:
        self._task: asyncio.Task[Any] | None = None
        self._gone = False

    def note_gone(self) -> None:
        """Cancels the work for a caller who closed the connection."""
        self._gone = True
        if self._task is not None:
            self._task.cancel()

    async def unless_gone(self, work: Coroutine[Any, Any, T]) -> T | None:
        """Awaits work, and cancels it when the caller closes its connection.

        Nobody waits for the answer any more; without this the work would go
        on through all layers to the deadline, at the worst possible time.

        Returns:
            The result, or None when the caller has gone.
        """
        if self._gone:
            work.close()
            return None
        self._task = asyncio.current_task()
        assert self._task is not None
        try:
            return await work
        except asyncio.CancelledError:
            if not self._gone:
                raise
            self._task.uncancel()
            return None
        finally:
            self._task = None


def watch_of(scope: Scope) -> CallerWatch:
    """Returns the watch that the connection of a request keeps."""
    watch: CallerWatch = scope["extensions"][CALLER]["watch"]
    return watch
