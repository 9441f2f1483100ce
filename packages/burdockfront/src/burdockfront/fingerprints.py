"""Fingerprints of requests, equal for requests of equal content.

A caller that repeats a request gives it a new id, so ids cannot identify
repeats. The content does: method, host, path with query, body and credentials.
Requests for the same path under different credentials are different requests.
"""

import hashlib
from collections.abc import Iterable

# 64 bits: if a million requests are remembered at a time, two different ones
# collide with a probability of one in forty million.
_DIGEST_BYTES = 8
_CREDENTIALS = frozenset(["authorization", "cookie"])
# Each part is prefixed with its length, so different requests never encode to
# the same bytes.
_LENGTH_BYTES = 8


def fingerprint_of(
    method: str,
    host: str,
    target: str,
    headers: Iterable[tuple[str, str]],
    body: bytes | bytearray,
) -> str:
    """Returns the fingerprint of a request, in hexadecimal.

    Args:
        method: HTTP method.
        host: Requested host; its case is ignored.
        target: Path and query.
        headers: Names in lower case, and values; only credentials are used.
        body: The complete body.
    """
    credentials = [
        f"{name}: {value}" for name, value in headers if name in _CREDENTIALS
    ]
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (method, host.lower(), target, *credentials):
        _add(digest, part.encode("utf-8", "surrogateescape"))
    _add(digest, body)
    return digest.hexdigest()


def _add(digest: hashlib.blake2b, part: bytes | bytearray) -> None:
    digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
    digest.update(part)
