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


@dataclasses.dataclass(frozen=True, slots=True)
class Original:
    """The answer that is replaced."""

    request_id: str
    body: bytes = b"done"
    signature: str = "s"


Spoiler = Callable[[Original], Spoiled]


def _head(original: Original, *headers: str) -> bytes:
    lines = [
        "HTTP/1.1 200 OK",
        f"Request-Id: {original.request_id}",
        f"Response-Signature: {original.signature}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n"


@SPOILED.register("unnamed-rejection")
def unnamed_rejection(original: Original) -> Spoiled:
    """A rejection that names no request."""
    return Spoiled(_UNNAMED_REJECTION)


@SPOILED.register("rejection-in-trailer")
def rejection_in_trailer(original: Original) -> Spoiled:
    """A success whose trailer section says that the request did not run."""
    head = _head(original, "Transfer-Encoding: chunked")
    chunk = b"%x\r\n%b\r\n" % (len(original.body), original.body)
    return Spoiled(head + b"\r\n" + chunk + b"0\r\nNot-Executed: 1\r\n\r\n")


@SPOILED.register("endless-head")
def endless_head(original: Original) -> Spoiled:
    """A head with header after header."""
    return Spoiled(_head(original), b"X-More: y\r\n" * 100)


@SPOILED.register("endless-header")
def endless_header(original: Original) -> Spoiled:
    """A header whose value does not end."""
    return Spoiled(_head(original) + b"X-More: ", b"y" * 4_096)


@SPOILED.register("endless-body")
def endless_body(original: Original) -> Spoiled:
    """A body that ends with its connection, which stays open."""
    return Spoiled(_head(original) + b"\r\n", b"z" * 16_384)


@SPOILED.register("endless-chunks")
def endless_chunks(original: Original) -> Spoiled:
    """A chunked body without a last chunk."""
    head = _head(original, "Transfer-Encoding: chunked")
    return Spoiled(head + b"\r\n", b"4000\r\n" + b"z" * 16_384 + b"\r\n")


@SPOILED.register("endless-small-chunks")
def endless_small_chunks(original: Original) -> Spoiled:
    """A chunked body in chunks of two bytes."""
    head = _head(original, "Transfer-Encoding: chunked")
    return Spoiled(head + b"\r\n", b"2\r\nzz\r\n" * 1_000)


@SPOILED.register("endless-trailer")
def endless_trailer(original: Original) -> Spoiled:
    """A trailer field whose value does not end."""
    head = _head(original, "Transfer-Encoding: chunked")
    return Spoiled(head + b"\r\n4\r\ndone\r\n0\r\nX-More: ", b"y" * 4_096)


@SPOILED.register("endless-informational")
def endless_informational(original: Original) -> Spoiled:
    """One informational answer after the other."""
    return Spoiled(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100)


@SPOILED.register("endless-unnamed")
def endless_unnamed(original: Original) -> Spoiled:
    """One rejection that names no request after the other."""
    return Spoiled(b"", _UNNAMED_REJECTION * 100)
