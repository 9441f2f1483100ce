"""HTTP/1.1 requests and answers of a client connection."""

import dataclasses
from collections.abc import Iterable

# Bodies up to this size are copied behind their head, which saves a system
# call. Larger ones are held and written as they are.
MAX_JOINED_BYTES = 65_536
# A large body stays in the buffer in which it was received; nobody changes it.
Body = bytes | bytearray
# The parts of an encoded request: one piece, or its head and a large body.
Encoded = tuple[Body, ...]


@dataclasses.dataclass(slots=True)
class RawAnswer:
    """An HTTP answer as received.

    Attributes:
        status: HTTP status code.
        headers: All headers in their order, names in lower case.
        body: The complete body.
        is_first: Whether no answer preceded it on its connection.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    is_first: bool = True

    def header(self, name: str) -> str | None:
        """Returns the first header with a name in lower case, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


def encode_request(
    method: str,
    target: str,
    host: str,
    headers: Iterable[tuple[str, str]],
    body: Body,
) -> Encoded:
    """Returns an encoded request, with its Host and Content-Length headers."""
    line = f"{method} {target} HTTP/1.1\r\nhost: {host}\r\n"
    fields = "".join([f"{name}: {value}\r\n" for name, value in headers])
    if not body and method in ("GET", "HEAD"):
        return (f"{line}{fields}\r\n".encode("latin-1"),)
    size_bytes = len(body)
    length = f"content-length: {size_bytes}\r\n\r\n"
    head = f"{line}{fields}{length}".encode("latin-1")
    if size_bytes > MAX_JOINED_BYTES:
        return head, body
    return (head + body,)


def keep_alive_of(answer: RawAnswer) -> float | None:
    """Returns the timeout in an answer's Keep-Alive header, or None."""
    value = answer.header("keep-alive")
    if value is None:
        return None
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout" and number.isdigit():
            return float(number)
    return None
