"""Compressed bodies between nodes, and such that are not what they say.

A peer of another release, or a fault, sends bytes that can't be read, end too
early, or would fill the memory. Nothing of them is taken, and the error names
the remedy.
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
def test_body_is_the_same_after_its_way(body):
    packed, encoding = compression.pack(body)
    assert compression.unpack(packed, encoding, _LIMIT_BYTES) == body


def test_short_body_is_left_as_it_is():
    assert compression.pack(b"{}") == (b"{}", "")


@pytest.mark.parametrize(
    ("body", "encoding", "said"),
    [
        (b"{}", "gzip", "got one in 'gzip'"),
        (b"not compressed at all", "deflate", "can't be read"),
        (zlib.compress(b"x" * 5_000)[:-6], "deflate", "ends too early"),
        (zlib.compress(b"x" * 1_000_000), "deflate", "at most 100000 bytes"),
    ],
)
def test_body_that_is_not_what_it_says_is_refused(body, encoding, said):
    with pytest.raises(errors.InvalidInputError, match=said):
        compression.unpack(body, encoding, _LIMIT_BYTES)


def test_peer_port_refuses_a_body_that_cannot_be_read():
    taken = []

    async def handler(message):
        taken.append(message)
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
    assert not taken
