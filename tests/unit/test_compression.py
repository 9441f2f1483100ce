"""Compressed bodies between nodes, and bodies not in their declared encoding.

A peer of another release or a fault sends a body that can't be decompressed,
is truncated, or would exhaust memory. Such a body is rejected whole, and the
error names the remedy.
"""

import asyncio
import zlib

import hypothesis
import pytest
from hypothesis import strategies
from starlette import requests

from burdockfront import errors
from burdockfront_node import internal_app
from burdockfront_node.internal import compression
from tests import builders

_LIMIT_BYTES = 100_000


@hypothesis.given(strategies.binary(max_size=5_000))
def test_body_is_unchanged_after_pack_and_unpack(body):
    packed, encoding = compression.pack(body)
    assert compression.unpack(packed, encoding, _LIMIT_BYTES) == body


def test_short_body_is_not_compressed():
    assert compression.pack(b"{}") == (b"{}", "")


@pytest.mark.parametrize(
    ("body", "encoding", "message"),
    [
        (b"{}", "gzip", "got one in 'gzip'"),
        (b"not compressed at all", "deflate", "can't be decompressed"),
        (zlib.compress(b"x" * 5_000)[:-6], "deflate", "is truncated"),
        (zlib.compress(b"x" * 1_000_000), "deflate", "at most 100000 bytes"),
    ],
)
def test_body_not_in_its_declared_encoding_is_rejected(body, encoding, message):
    with pytest.raises(errors.InvalidInputError, match=message):
        compression.unpack(body, encoding, _LIMIT_BYTES)


def test_peer_endpoint_rejects_a_body_that_cannot_be_decompressed():
    handled = []

    async def handler(message):
        handled.append(message)
        return {}

    async def receive():
        return {"type": "http.request", "body": b"?", "more_body": False}

    keys = builders.a_key_ring()
    route = internal_app.json_route("/p", lambda: keys, print, handler)
    headers = [
        (b"authorization", f"Bearer {builders.KEY}".encode()),
        (b"content-encoding", b"deflate"),
    ]
    scope = {"type": "http", "headers": headers}
    response = asyncio.run(route.endpoint(requests.Request(scope, receive)))
    assert response.status_code == 400
    assert b"compatible releases" in response.body
    assert not handled
