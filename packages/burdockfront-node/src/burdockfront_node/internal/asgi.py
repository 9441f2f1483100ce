"""Runs an ASGI application for a request that `http_port` has read.

Gossip of peers and requests of operators arrive at the same port as calls.
They are rare, so starlette serves them.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from burdockfront_node.internal import messages

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]


async def call(
    application: Application, request: messages.Request
) -> messages.Response:
    """Returns the response of an application to a request."""
    collector = _ResponseCollector()

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": bytes(request.body)}

    await application(_scope_of(request), receive, collector.send)
    return messages.Response(
        collector.status, tuple(collector.headers), bytes(collector.body)
    )


def _scope_of(request: messages.Request) -> Scope:
    path, _, query = request.target.partition("?")
    return {
        "type": "http",
        "asgi": {"version": "3.0"},
        "http_version": "1.1",
        "method": request.method,
        "scheme": "http",
        "path": path,
        "raw_path": path.encode("latin-1"),
        "query_string": query.encode("latin-1"),
        "root_path": "",
        "headers": [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in request.headers
        ],
    }


class _ResponseCollector:
    """Collects the ASGI messages of one response."""

    def __init__(self) -> None:
        self.status = 500
        self.headers: list[tuple[str, str]] = []
        self.body = bytearray()

    async def send(self, message: dict[str, Any]) -> None:
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self.headers = [
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in message["headers"]
                if name.lower() != b"content-length"
            ]
        else:
            self.body += message.get("body", b"")
