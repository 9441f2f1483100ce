"""What a connection needs to know of the heads of requests."""

from burdockfront_node.internal import messages


class _Methods(dict[bytes, str]):
    """Decoded request methods; the parser accepts only a fixed set of them."""

    def __missing__(self, raw: bytes) -> str:
        """Returns a decoded method and caches it."""
        method = raw.decode("latin-1")
        self[raw] = method
        return method


# Looked up as `METHODS[raw]`, which costs no function call for a known method.
METHODS = _Methods()


def _plain(status: int, message: str) -> messages.Response:
    headers = (("content-type", "text/plain; charset=utf-8"),)
    return messages.Response(status, headers, message.encode())


INVALID = _plain(400, "The request is not valid HTTP.")
TOO_SLOW = _plain(408, "The request headers took too long.")
TOO_LARGE = _plain(431, "The request headers are too large.")


def size_bytes(url: bytes, headers: list[tuple[str, str]]) -> int:
    """Returns the approximate size of a head."""
    return len(url) + sum(len(name) + len(value) + 4 for name, value in headers)
