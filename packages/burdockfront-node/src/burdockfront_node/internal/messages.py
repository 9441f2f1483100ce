"""Requests and responses on the ports of a node, and their encoding."""

import dataclasses
import http
import time

from burdockfront import errors
from burdockfront_client import calls
from burdockfront_client import http_messages

Headers = tuple[tuple[str, str], ...]

# Share of the remaining time for which a large body may wait for memory. The
# rest must do to read it and to serve the request.
BODY_WAIT_SHARE = 0.5
DEFAULT_BODY_WAIT_S = 2.0
_NO_BODY = frozenset([204, 304])
_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n"
    for status in http.HTTPStatus
}


class BodyTooLargeError(errors.InvalidInputError):
    """The request body is larger than allowed."""

    def __init__(self, limit_bytes: int):
        super().__init__(
            f"expected a body of at most {limit_bytes} bytes, got more; send "
            f"less, or raise body_limit_bytes in the policy of the service."
        )


class BodyTooSlowError(errors.InvalidInputError):
    """The request body did not arrive within the time limit."""

    def __init__(self, limit_s: float):
        super().__init__(
            f"expected the whole body within {limit_s:g} s, but it did not "
            f"arrive; nothing was passed on. Send the request again."
        )


class NoRoomError(errors.InvalidInputError):
    """There is no memory for the request body.

    Attributes:
        retry_after_s: When there may be.
    """

    def __init__(self, retry_after_s: float):
        self.retry_after_s = retry_after_s
        super().__init__(
            f"other request bodies take all memory that this node has for "
            f"them; nothing was passed on. Send the request again after "
            f"{retry_after_s:.2f} s."
        )


@dataclasses.dataclass(slots=True)
class Request:
    """A request that has been read whole.

    Attributes:
        method: HTTP method.
        target: Encoded path and query, exactly as received.
        headers: All headers, names in lower case.
        body: The whole body.
        arrived_s: Monotonic time at which the last byte was read. The request
            may wait behind earlier ones of its connection before it is served.
        hold: Keeps the room of a large body; None for others.
    """

    method: str
    target: str
    headers: Headers
    body: http_messages.Body
    arrived_s: float = dataclasses.field(default_factory=time.monotonic)
    hold: calls.BodyHold | None = None

    def header(self, name: str) -> str | None:
        """Returns the first header with this lower-case name, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


@dataclasses.dataclass(slots=True)
class Response:
    """A complete response.

    Attributes:
        status: HTTP status code.
        headers: Headers, without those on the connection and the length.
        body: The whole body.
        closes: Whether to close the connection after this response, unless a
            further request of the connection has already been read.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    closes: bool = False


def encode(
    response: Response, head_only: bool, closes: bool
) -> tuple[bytes, ...]:
    """Encodes a response as HTTP/1.1.

    Args:
        response: Response to encode.
        head_only: Whether to leave out the body, as for a HEAD request.
        closes: Whether to send `connection: close`.

    Returns:
        The parts to write: a large body is not copied behind the head.
    """
    status = response.status
    line = _STATUS_LINES.get(status) or f"HTTP/1.1 {status} \r\n"
    fields = [f"{name}: {value}\r\n" for name, value in response.headers]
    end = "connection: close\r\n\r\n" if closes else "\r\n"
    if status in _NO_BODY:
        return ((line + "".join(fields) + end).encode("latin-1"),)
    body = response.body
    size_bytes = len(body)
    length = f"content-length: {size_bytes}\r\n"
    head = (line + "".join(fields) + length + end).encode("latin-1")
    if head_only:
        return (head,)
    if size_bytes > http_messages.MAX_JOINED_BYTES:
        return head, body
    return (head + body,)
