"""Builders of bytes that backend servers in trouble send as answers."""

import dataclasses
from collections.abc import Callable

from burdockfront import registry

SPOILED = registry.Registry("spoiled answer")

_UNNAMED_REJECTION = (
    b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)


@dataclasses.dataclass(frozen=True, slots=True)
class Spoiled:
    """Bytes sent in place of an answer.

    Attributes:
        start: The first bytes.
        repeated: Bytes that follow without end; empty: none.
    """

    start: bytes
    repeated: bytes = b""


# Returns what is sent in place of the answer to the request with this id.
Spoiler = Callable[[str], Spoiled]


def _head(request_id: str, *headers: str) -> bytes:
    lines = [
        "HTTP/1.1 200 OK",
        f"Request-Id: {request_id}",
        "Response-Signature: s",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n"


@SPOILED.register("unnamed-rejection")
def unnamed_rejection(request_id: str) -> Spoiled:
    """A rejection that names no request."""
    return Spoiled(_UNNAMED_REJECTION)


@SPOILED.register("rejection-in-trailer")
def rejection_in_trailer(request_id: str) -> Spoiled:
    """A success whose trailer section says that the request did not run."""
    head = _head(request_id, "Transfer-Encoding: chunked")
    body = b"4\r\ndone\r\n0\r\nNot-Executed: 1\r\n\r\n"
    return Spoiled(head + b"\r\n" + body)


@SPOILED.register("endless-head")
def endless_head(request_id: str) -> Spoiled:
    """A head with header after header."""
    return Spoiled(_head(request_id), b"X-More: y\r\n" * 100)


@SPOILED.register("endless-header")
def endless_header(request_id: str) -> Spoiled:
    """A header whose value does not end."""
    return Spoiled(_head(request_id) + b"X-More: ", b"y" * 4_096)


@SPOILED.register("endless-body")
def endless_body(request_id: str) -> Spoiled:
    """A body that ends with its connection, which stays open."""
    return Spoiled(_head(request_id) + b"\r\n", b"z" * 16_384)


@SPOILED.register("endless-chunks")
def endless_chunks(request_id: str) -> Spoiled:
    """A chunked body without a last chunk."""
    head = _head(request_id, "Transfer-Encoding: chunked")
    return Spoiled(head + b"\r\n", b"4000\r\n" + b"z" * 16_384 + b"\r\n")


@SPOILED.register("endless-small-chunks")
def endless_small_chunks(request_id: str) -> Spoiled:
    """A chunked body in chunks of two bytes."""
    head = _head(request_id, "Transfer-Encoding: chunked")
    return Spoiled(head + b"\r\n", b"2\r\nzz\r\n" * 1_000)


@SPOILED.register("endless-trailer")
def endless_trailer(request_id: str) -> Spoiled:
    """A trailer field whose value does not end."""
    head = _head(request_id, "Transfer-Encoding: chunked")
    return Spoiled(head + b"\r\n4\r\ndone\r\n0\r\nX-More: ", b"y" * 4_096)


@SPOILED.register("endless-informational")
def endless_informational(request_id: str) -> Spoiled:
    """One informational answer after the other."""
    return Spoiled(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100)


@SPOILED.register("endless-unnamed")
def endless_unnamed(request_id: str) -> Spoiled:
    """One rejection that names no request after the other."""
    return Spoiled(b"", _UNNAMED_REJECTION * 100)
