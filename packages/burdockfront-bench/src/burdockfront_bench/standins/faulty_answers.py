"""Builders of bytes that backend servers in trouble send as answers."""

import dataclasses
from collections.abc import Callable

from burdockfront import registry

KINDS = registry.Registry("faulty answer")

_UNNAMED_REJECTION = (
    b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)


@dataclasses.dataclass(frozen=True, slots=True)
class FaultyAnswer:
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


Builder = Callable[[Original], FaultyAnswer]


def _head(original: Original, *headers: str) -> bytes:
    lines = [
        "HTTP/1.1 200 OK",
        f"Request-Id: {original.request_id}",
        f"Response-Signature: {original.signature}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n"


@KINDS.register("unnamed-rejection")
def unnamed_rejection(original: Original) -> FaultyAnswer:
    """A rejection that names no request."""
    return FaultyAnswer(_UNNAMED_REJECTION)


@KINDS.register("rejection-in-trailer")
def rejection_in_trailer(original: Original) -> FaultyAnswer:
    """A success whose trailer section says that the request did not run."""
    head = _head(original, "Transfer-Encoding: chunked")
    chunk = b"%x\r\n%b\r\n" % (len(original.body), original.body)
    return FaultyAnswer(
        head + b"\r\n" + chunk + b"0\r\nNot-Executed: 1\r\n\r\n"
    )


@KINDS.register("endless-head")
def endless_head(original: Original) -> FaultyAnswer:
    """A head with header after header."""
    return FaultyAnswer(_head(original), b"X-More: y\r\n" * 100)


@KINDS.register("endless-header")
def endless_header(original: Original) -> FaultyAnswer:
    """A header whose value does not end."""
    return FaultyAnswer(_head(original) + b"X-More: ", b"y" * 4_096)


@KINDS.register("endless-body")
def endless_body(original: Original) -> FaultyAnswer:
    """A body that ends with its connection, which stays open."""
    return FaultyAnswer(_head(original) + b"\r\n", b"z" * 16_384)


@KINDS.register("endless-chunks")
def endless_chunks(original: Original) -> FaultyAnswer:
    """A chunked body without a last chunk."""
    head = _head(original, "Transfer-Encoding: chunked")
    return FaultyAnswer(head + b"\r\n", b"4000\r\n" + b"z" * 16_384 + b"\r\n")


@KINDS.register("endless-small-chunks")
def endless_small_chunks(original: Original) -> FaultyAnswer:
    """A chunked body in chunks of two bytes."""
    head = _head(original, "Transfer-Encoding: chunked")
    return FaultyAnswer(head + b"\r\n", b"2\r\nzz\r\n" * 1_000)


@KINDS.register("endless-trailer")
def endless_trailer(original: Original) -> FaultyAnswer:
    """A trailer field whose value does not end."""
    head = _head(original, "Transfer-Encoding: chunked")
    return FaultyAnswer(head + b"\r\n4\r\ndone\r\n0\r\nX-More: ", b"y" * 4_096)


@KINDS.register("endless-informational")
def endless_informational(original: Original) -> FaultyAnswer:
    """One informational answer after the other."""
    return FaultyAnswer(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100)


@KINDS.register("endless-unnamed")
def endless_unnamed(original: Original) -> FaultyAnswer:
    """One rejection that names no request after the other."""
    return FaultyAnswer(b"", _UNNAMED_REJECTION * 100)
